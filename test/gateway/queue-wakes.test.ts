/**
 * Guards against many routers that send requests for the same free capacity, which the engines then
 * reject. Compares ways to divide it in a model of deployment A's plain service.
 */
import test, { type ExecutionContext } from 'ava';
import { type WakeModel, type WakeResult, WakeRule, runWakeModel } from '../helpers/wake-model.js';

const SEED = 5;
const MODEL: WakeModel = {
  routers: 84,
  engines: 3,
  slots: 6,
  queued: 24,
  serviceMs: 43,
  objectiveMs: 199,
  placement: 'by-room',
  loadAt: () => 1,
  durationMs: 24_000,
};

function runAll(t: ExecutionContext, model: WakeModel): Map<WakeRule, WakeResult> {
  const results = new Map(
    Object.values(WakeRule).map((rule) => [rule, runWakeModel(model, rule, SEED)]),
  );
  for (const [rule, { rejected, idle, inTime, meanWaitMs, p95WaitMs }] of results) {
    const shares = [rejected, idle, inTime].map((each) => each.toFixed(3)).join(' ');
    t.log(
      `${rule}: rejected, idle, in time ${shares}; waits ${Math.round(meanWaitMs)} ${p95WaitMs}`,
    );
  }
  return results;
}

function resultOf(results: ReadonlyMap<WakeRule, WakeResult>, rule: WakeRule): WakeResult {
  return results.get(rule) as WakeResult;
}

test('in a lasting overload, a budget for all sends avoids most rejections by engines', (t) => {
  const results = runAll(t, { ...MODEL, loadAt: () => 1.3 });
  const [budget, share] = [WakeRule.Budget, WakeRule.ShareOfRoom].map((rule) =>
    resultOf(results, rule),
  ) as [WakeResult, WakeResult];
  t.true(budget.rejected <= 0.02 && share.rejected > 0.2);
  t.true(budget.inTime > share.inTime * 1.3);
});

test('in bursts, a budget for all sends avoids most rejections by engines', (t) => {
  const loadAt = (nowMs: number): number => (nowMs % 3_000 < 1_000 ? 2.6 * 0.7 : 0.7);
  const results = runAll(t, { ...MODEL, loadAt });
  const [budget, share] = [WakeRule.Budget, WakeRule.ShareOfRoom].map((rule) =>
    resultOf(results, rule),
  ) as [WakeResult, WakeResult];
  t.true(budget.rejected <= 0.02 && share.rejected > 0.1);
  t.true(budget.inTime >= share.inTime);
});

test('without overload, the budget delays almost nothing', (t) => {
  const results = runAll(t, { ...MODEL, loadAt: () => 0.7 });
  t.true(resultOf(results, WakeRule.Budget).inTime >= 0.99);
});
