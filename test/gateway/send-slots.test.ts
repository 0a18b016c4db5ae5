/** Guards against routers that together exceed the rate limit of an engine or leave it unused. */
import test from 'ava';
import fc from 'fast-check';
import { EngineLimits } from '../../src/state/routing/engine-limits.js';
import type { SlotInterval } from '../../src/state/routing/send-slots.js';

const ENGINE = 'engine-1';
const START_MS = 1_767_225_600_000;
const WINDOW_MS = 4_000;
const FULL: SlotInterval = { from: 0, to: 1 };

/** The requests that a group tries to send to one engine. */
interface Demand {
  readonly routers: number;
  readonly perSecond: number;
  /** Time between two requests at one router, in milliseconds. */
  readonly gapMs: number;
  readonly durationMs: number;
  /** Time before the first request, in milliseconds. */
  readonly idleMs: number;
  /** Clock skew of each router, in milliseconds. */
  readonly clockSkewMs: (router: number) => number;
}

/** Returns the times of the requests that were sent. */
function sendAll(demand: Demand): number[] {
  const { routers, perSecond, gapMs, durationMs, idleMs, clockSkewMs } = demand;
  const groups = Array.from({ length: routers }, (_, index) => {
    const limits = new EngineLimits();
    limits.setLimit(ENGINE, perSecond, 0);
    return { limits, interval: { from: index / routers, to: (index + 1) / routers } };
  });
  const sentMs: number[] = [];
  for (let nowMs = idleMs; nowMs < durationMs; nowMs += gapMs / routers) {
    const index = Math.round((nowMs * routers) / gapMs) % routers;
    const { limits, interval } = groups[index] as (typeof groups)[number];
    const view = { wallMs: START_MS + nowMs + clockSkewMs(index), interval };
    if (!limits.maySend(ENGINE, view)) continue;
    limits.noteSend(ENGINE, view);
    sentMs.push(nowMs);
  }
  return sentMs;
}

function maximumInWindow(sentMs: readonly number[]): number {
  const counts = sentMs.map(
    (endMs) => sentMs.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs).length,
  );
  return Math.max(0, ...counts);
}

test('a group of any size stays within the limit in every window, also after an idle time', (t) => {
  const property = fc.property(
    fc.constantFrom(1, 3, 7, 24, 79, 195),
    fc.double({ min: 0.1, max: 30, noNaN: true }),
    fc.constantFrom(0, 15_000),
    fc.integer({ min: 0, max: 200 }),
    (routers, perSecond, idleMs, maximumSkewMs) => {
      const sentMs = sendAll({
        routers,
        perSecond,
        gapMs: 200,
        durationMs: 30_000,
        idleMs,
        clockSkewMs: (router) => ((router * 37) % (maximumSkewMs + 1)) - maximumSkewMs / 2,
      });
      const allowed = (perSecond * WINDOW_MS) / 1_000;
      t.true(maximumInWindow(sentMs) <= 1.5 * allowed + 5);
    },
  );
  fc.assert(property, { seed: 7, numRuns: 60 });
});

test('a group with enough requests uses nearly the whole limit', (t) => {
  for (const routers of [1, 3, 7, 24, 79]) {
    for (const perSecond of [0.5, 1.2, 5]) {
      const durationMs = 60_000;
      const demand = {
        routers,
        perSecond,
        gapMs: 200,
        durationMs,
        idleMs: 0,
        clockSkewMs: () => 0,
      };
      const share = sendAll(demand).length / ((perSecond * durationMs) / 1_000);
      t.true(share > 0.85 && share < 1.15, `${routers} routers, ${perSecond} a second: ${share}`);
    }
  }
});

test('routers get slots in proportion to their intervals', (t) => {
  const count = ({ from, to }: SlotInterval): number => {
    const limits = new EngineLimits();
    limits.setLimit(ENGINE, 10, 0);
    let sent = 0;
    for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
      const view = { wallMs: START_MS + nowMs, interval: { from, to } };
      if (!limits.maySend(ENGINE, view)) continue;
      limits.noteSend(ENGINE, view);
      sent += 1;
    }
    return sent;
  };
  const small = count({ from: 0, to: 0.1 });
  const large = count({ from: 0.1, to: 0.5 });
  t.true(Math.abs(small - 30) <= 3, `${small}`);
  t.true(Math.abs(large - 120) <= 4, `${large}`);
});

test('a router without an interval sends no requests to a limited engine, but does to others', (t) => {
  const limits = new EngineLimits();
  limits.setLimit(ENGINE, 5, 0);
  const view = { wallMs: START_MS, interval: undefined };
  t.false(limits.maySend(ENGINE, view));
  t.true(limits.waitMs(ENGINE, view) > 0);
  t.true(limits.maySend('engine-2', view));
  t.is(limits.waitMs('engine-2', view), 0);
});

test('a wall clock that is set back neither stops the slots nor repeats more than one', (t) => {
  const limits = new EngineLimits();
  limits.setLimit(ENGINE, 2, 0);
  const sendAt = (wallMs: number): boolean => {
    const view = { wallMs, interval: FULL };
    const isSent = limits.maySend(ENGINE, view);
    limits.noteSend(ENGINE, view);
    return isSent;
  };
  for (let nowMs = 0; nowMs < 10_000; nowMs += 50) sendAt(START_MS + nowMs);
  let sent = 0;
  for (let nowMs = 0; nowMs < 4_000; nowMs += 50)
    if (sendAt(START_MS - 3_600_000 + nowMs)) sent += 1;
  t.true(sent >= 7 && sent <= 9, `${sent}`);
});

test('an engine with a limit of 0 is probed at a low rate', (t) => {
  const sentMs = sendAll({
    routers: 3,
    perSecond: 0,
    gapMs: 100,
    durationMs: 30_000,
    idleMs: 0,
    clockSkewMs: () => 0,
  });
  t.true(sentMs.length >= 4 && sentMs.length <= 8, `${sentMs.length}`);
});

test('the reported wait ends when a slot is due', (t) => {
  const property = fc.property(
    fc.double({ min: 0.3, max: 20, noNaN: true }),
    fc.integer({ min: 0, max: 100_000 }),
    (perSecond, offsetMs) => {
      const limits = new EngineLimits();
      limits.setLimit(ENGINE, perSecond, 0);
      const interval = { from: 0.2, to: 0.5 };
      const viewAt = (nowMs: number) => ({ wallMs: START_MS + offsetMs + nowMs, interval });
      while (limits.maySend(ENGINE, viewAt(0))) limits.noteSend(ENGINE, viewAt(0));
      const waitMs = limits.waitMs(ENGINE, viewAt(0));
      t.false(limits.maySend(ENGINE, viewAt(waitMs - 1)));
      if (waitMs < 10_000) t.true(limits.maySend(ENGINE, viewAt(waitMs + 1)));
    },
  );
  fc.assert(property, { seed: 3, numRuns: 200 });
});
