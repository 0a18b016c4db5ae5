/** For how long an engine that asked for a pause gets no requests, and what becomes of an engine that leaves. */
import test from 'ava';
import fc from 'fast-check';
import { EngineBackoffs } from '../../src/state/routing/engine-backoffs.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { engineRecord } from '../helpers/engine-record.js';

interface Wish {
  readonly engine: string;
  readonly afterMs: number;
  readonly forMs: number;
}

const anyWish: fc.Arbitrary<Wish> = fc.record({
  engine: fc.constantFrom('engine-1', 'engine-2', 'engine-3'),
  afterMs: fc.integer({ min: 0, max: 2_000 }),
  forMs: fc.integer({ min: 0, max: 10_000 }),
});

/** A router that is alone in its group. */
const ALONE = { wallMs: 1_000_000, interval: { from: 0, to: 1 } };

test('a pause lasts until the latest time that the engine has asked for', (t) => {
  const property = fc.property(fc.array(anyWish, { maxLength: 40 }), (wishes) => {
    const backoffs = new EngineBackoffs();
    const endsMs = new Map<string, number>();
    let nowMs = 0;
    for (const { engine, afterMs, forMs } of wishes) {
      nowMs += afterMs;
      backoffs.note(engine, nowMs, forMs);
      endsMs.set(engine, Math.max(endsMs.get(engine) ?? 0, nowMs + forMs));
      for (const [name, endMs] of endsMs) {
        t.is(backoffs.remainingMs(name, nowMs), Math.max(0, endMs - nowMs));
      }
    }
  });
  fc.assert(property, { seed: 11, numRuns: 300 });
});

test('the shortest pause of several engines counts, and one without any counts as over', (t) => {
  const health = new EngineHealth();
  health.backoffs.note('engine-1', 0, 3_000);
  health.backoffs.note('engine-2', 0, 1_000);
  t.is(health.shortestWaitMs(['engine-1', 'engine-2'], 200, ALONE), 800);
  t.is(health.shortestWaitMs(['engine-1', 'engine-3'], 200, ALONE), 0);
  t.is(health.shortestWaitMs([], 200, ALONE), Infinity);
});

test('a limited engine is awaited until its pause is over and a turn is due', (t) => {
  const health = new EngineHealth();
  health.limits.noteNamed('engine-1', 0.5, 0);
  while (health.limits.maySend('engine-1', ALONE)) health.limits.noteSend('engine-1', ALONE);
  const turnMs = health.limits.waitMs('engine-1', ALONE);
  t.true(turnMs > 0 && turnMs <= 2_000);
  t.is(health.shortestWaitMs(['engine-1'], 0, ALONE), turnMs);
  health.backoffs.note('engine-1', 0, 5_000);
  t.is(health.shortestWaitMs(['engine-1'], 0, ALONE), 5_000);
});

test('an engine that says it leaves takes no work again, whatever its entry says later', (t) => {
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', 1_000);
  registry.put(record);
  t.true(registry.noteLeaving(record.id));
  t.false(registry.noteLeaving(record.id));
  registry.put(record);
  t.deepEqual(registry.readyOf(record.service), []);
});

test('an engine that says it leaves while its entry is missing does not come back', (t) => {
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', 1_000);
  registry.put(record);
  registry.remove(record.id);
  t.true(registry.noteLeaving(record.id));
  t.is(registry.put(record).kind, 'retired');
  t.is(registry.put(engineRecord('engine-1', 2_000)).kind, 'stored');
  t.is(registry.readyOf(record.service).length, 1);
});
