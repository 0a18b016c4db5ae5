/** Guards against the use of expired state after a suspension that the monotonic clock missed. */
import test from 'ava';
import fc from 'fast-check';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { SimulationMutation } from '../../src/lab/gateway-simulation/simulation-mutation.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import {
  MINIMUM_JUMP_MS,
  SuspensionMeter,
  type TimeSources,
} from '../../src/runtime/suspension-meter.js';
import { StoreEra } from '../../src/runtime/store-position.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { LeaseStep, WeightLease } from '../../src/state/routing/weight-lease.js';
import { HEARTBEAT_TIMEOUT_MS } from '../../src/coordination/gateway/group-membership.js';
import { SharedRetryBudget } from '../../src/state/routing/shared-retry-budget.js';
import { GroupHarness } from '../helpers/group-harness.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { positionAt } from '../helpers/positions.js';

const SUSPENDED_MS = 7_000;
const CUT_MS = 9_000;
const GROUP_SETTLED_MS = 4_000;
/** Longest interval between two reports of a router. */
const REPORT_MS = 750;

/** Revokes a key while a router is suspended, and sends a request with it on resuming. */
async function requestOnResume(mutation: SimulationMutation): Promise<GatewaySimulation> {
  const simulation = await GatewaySimulation.create(33, mutation);
  simulation.cutFromStore(0, CUT_MS);
  simulation.suspendRouter(0, SUSPENDED_MS);
  simulation.toggleKey('tenant-1', 0);
  await simulation.clock.advance(SUSPENDED_MS + 1);
  simulation.request(0, 'plain-safe', 'tenant-1', 0);
  await simulation.settle();
  return simulation;
}

test('a key revoked during a suspension is rejected after resuming', async (t) => {
  const simulation = await requestOnResume({});
  t.deepEqual(findBreaches(simulation), []);
  t.like(simulation.requests[0]?.reply.own, { status: 503, reason: 'configuration-unproven' });
});

test('a router that measures ages by the monotonic clock accepts the revoked key', async (t) => {
  const simulation = await requestOnResume({ countsSuspensions: false });
  t.deepEqual(
    findBreaches(simulation).map(({ rule }) => rule),
    ['key-removed'],
  );
});

test('a lease holder renews before acting after resuming, and a standby does not take over early', async (t) => {
  const clock = new VirtualClock();
  const host = new HostClock(clock);
  const time = () => ({ nowMs: host.now(), elapsed: host.elapsed() });
  const settings = { holder: 'a', life: '1', leaseMs: 3_000, actMs: 500 };
  const own = { holder: 'a', life: '1', fencingToken: 4 };
  const holder = new WeightLease(settings, new StoreEras(true));
  holder.recordWrite({ record: own, position: positionAt(3) }, time());
  const standby = new WeightLease({ ...settings, holder: 'b' }, new StoreEras(true));
  standby.observe({ record: own, position: positionAt(3) }, StoreEra.None, host.now());
  t.is(holder.next(time()), LeaseStep.Act);
  host.suspend();
  await clock.advance(SUSPENDED_MS);
  host.wake();
  t.is(holder.next(time()), LeaseStep.Renew);
  t.is(standby.next(time()), LeaseStep.Wait);
});

test('timers of a suspended machine continue with their remaining time', async (t) => {
  const clock = new VirtualClock();
  const host = new HostClock(clock);
  let firedMs: number | undefined;
  host.setTimer(500, () => {
    firedMs = clock.now();
  });
  await clock.advance(200);
  host.suspend();
  await clock.advance(1_000);
  host.wake();
  await clock.advance(1_000);
  t.is(firedMs, 1_500);
  t.is(host.now(), 1_200);
});

type ClockEvent =
  | { readonly kind: 'run' | 'suspended'; readonly ms: number }
  | { readonly kind: 'wall-set'; readonly ms: number };

const anyEvent: fc.Arbitrary<ClockEvent> = fc.oneof(
  fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 0, max: 5_000 }) }),
  fc.record({
    kind: fc.constant('suspended' as const),
    ms: fc.integer({ min: MINIMUM_JUMP_MS, max: 60_000 }),
  }),
  fc.record({
    kind: fc.constant('wall-set' as const),
    ms: fc.oneof(
      fc.integer({ min: -60_000, max: -MINIMUM_JUMP_MS }),
      fc.integer({ min: MINIMUM_JUMP_MS, max: 60_000 }),
    ),
  }),
);

test('elapsed time is monotonic and never less than the real time for jumps of the minimum length or more', (t) => {
  const property = fc.property(fc.array(anyEvent, { maxLength: 40 }), (events) => {
    let steadyMs = 0;
    let wallMs = 1_000_000;
    const sources: TimeSources = { monotonicMs: () => steadyMs, wallMs: () => wallMs };
    const meter = new SuspensionMeter(sources, () => undefined);
    let passedMs = 0;
    let lastMs = meter.elapsedMs();
    for (const { kind, ms } of events) {
      if (kind !== 'suspended') steadyMs += kind === 'run' ? ms : 0;
      wallMs += ms;
      if (kind !== 'wall-set') passedMs += ms;
      const countedMs = meter.elapsedMs();
      t.true(countedMs >= lastMs);
      t.true(countedMs >= passedMs);
      lastMs = countedMs;
    }
  });
  fc.assert(property, { seed: 9, numRuns: 500 });
});

test('only forward steps of the wall clock count as elapsed time', (t) => {
  let wallMs = 50_000;
  const jumps: number[] = [];
  const meter = new SuspensionMeter(
    { monotonicMs: () => 10, wallMs: () => wallMs },
    ({ aheadMs }) => jumps.push(aheadMs),
  );
  wallMs -= 3_000;
  t.is(meter.elapsedMs(), 10);
  wallMs += 3_000;
  t.is(meter.elapsedMs(), 3_010);
  wallMs += MINIMUM_JUMP_MS - 1;
  t.is(meter.elapsedMs(), 3_010);
  t.deepEqual(jumps, [-3_000, 3_000]);
});

test('a resumed router drops a router that died meanwhile within the heartbeat timeout', async (t) => {
  const harness = await GroupHarness.create(8, 22);
  await harness.clock.advance(GROUP_SETTLED_MS);
  const suspended = harness.routers[0]?.host;
  suspended?.suspend();
  await harness.clock.advance(1_000);
  harness.powerOff(3);
  await harness.clock.advance(SUSPENDED_MS);
  suspended?.wake();
  await harness.clock.advance(HEARTBEAT_TIMEOUT_MS + REPORT_MS);
  t.is(harness.longestStaleEntryMs(), 0);
});

test('a router sends no work to an engine that drained during its suspension once the list is read', async (t) => {
  const simulation = await GatewaySimulation.create(34);
  simulation.suspendRouter(0, SUSPENDED_MS);
  await simulation.clock.advance(100);
  const draining = simulation.engine(0);
  simulation.fleet.drain(0);
  await simulation.clock.advance(SUSPENDED_MS);
  for (let turn = 0; turn < 20; turn += 1) {
    simulation.request(0, 'stream-once', 'tenant-1', 0);
    await simulation.clock.advance(20);
  }
  const late = simulation.observations.runs.filter(({ engineId }) => engineId === draining.id);
  t.deepEqual(late, []);
  await simulation.settle();
  t.deepEqual(findBreaches(simulation), []);
});

test('a suspension extends the window of the retry budget and never shortens it', async (t) => {
  const clock = new VirtualClock();
  const host = new HostClock(clock);
  const budget = new SharedRetryBudget({ ratio: 0, windowMs: 10_000, allowance: 10 });
  const spend = (): boolean => budget.trySpend(host.now(), 1);
  while (spend()) await clock.advance(1);
  host.suspend();
  await clock.advance(9_000);
  host.wake();
  t.false(spend());
  await clock.advance(5_000);
  t.false(spend());
  await clock.advance(6_000);
  t.true(spend());
});
