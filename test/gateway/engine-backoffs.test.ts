/** Guards against requests to engines that requested a pause or announced their shutdown. */
import test from 'ava';
import fc from 'fast-check';
import { EngineBackoffs } from '../../src/state/routing/engine-backoffs.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { engineRecord } from '../helpers/engine-record.js';

interface BackoffRequest {
  readonly engine: string;
  readonly afterMs: number;
  readonly forMs: number;
}

const anyBackoffRequest: fc.Arbitrary<BackoffRequest> = fc.record({
  engine: fc.constantFrom('engine-1', 'engine-2', 'engine-3'),
  afterMs: fc.integer({ min: 0, max: 2_000 }),
  forMs: fc.integer({ min: 0, max: 10_000 }),
});

/** A router without peers, which owns every send slot. */
const SOLE_ROUTER = { wallMs: 1_000_000, interval: { from: 0, to: 1 } };

test('a pause lasts until the latest time that the engine has requested', (t) => {
  const property = fc.property(fc.array(anyBackoffRequest, { maxLength: 40 }), (requests) => {
    const backoffs = new EngineBackoffs();
    const endsMs = new Map<string, number>();
    let nowMs = 0;
    for (const { engine, afterMs, forMs } of requests) {
      nowMs += afterMs;
      backoffs.record(engine, nowMs, forMs);
      endsMs.set(engine, Math.max(endsMs.get(engine) ?? 0, nowMs + forMs));
      for (const [name, endMs] of endsMs) {
        t.is(backoffs.remainingMs(name, nowMs), Math.max(0, endMs - nowMs));
      }
    }
  });
  fc.assert(property, { seed: 11, numRuns: 300 });
});

test('the shortest wait of several engines is returned, and 0 if one has no pause', (t) => {
  const health = new EngineHealth();
  health.backoffs.record('engine-1', 0, 3_000);
  health.backoffs.record('engine-2', 0, 1_000);
  t.is(health.shortestWaitMs(['engine-1', 'engine-2'], 200, SOLE_ROUTER), 800);
  t.is(health.shortestWaitMs(['engine-1', 'engine-3'], 200, SOLE_ROUTER), 0);
  t.is(health.shortestWaitMs([], 200, SOLE_ROUTER), Infinity);
});

test('the wait for a rate-limited engine covers both its pause and the next send slot', (t) => {
  const health = new EngineHealth();
  health.limits.setLimit('engine-1', 0.5, 0);
  while (health.limits.maySend('engine-1', SOLE_ROUTER))
    health.limits.noteSend('engine-1', SOLE_ROUTER);
  const slotMs = health.limits.waitMs('engine-1', SOLE_ROUTER);
  t.true(slotMs > 0 && slotMs <= 2_000);
  t.is(health.shortestWaitMs(['engine-1'], 0, SOLE_ROUTER), slotMs);
  health.backoffs.record('engine-1', 0, 5_000);
  t.is(health.shortestWaitMs(['engine-1'], 0, SOLE_ROUTER), 5_000);
});

test('an engine that announced its shutdown gets no more work, even if its entry returns', (t) => {
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', 1_000);
  registry.put(record);
  t.true(registry.noteLeaving(record.id));
  t.false(registry.noteLeaving(record.id));
  registry.put(record);
  t.deepEqual(registry.readyOf(record.service), []);
});

test('an incarnation that announces its shutdown without an entry is not registered again', (t) => {
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', 1_000);
  registry.put(record);
  registry.remove(record.id);
  t.true(registry.noteLeaving(record.id));
  t.is(registry.put(record).kind, 'retired');
  t.is(registry.put(engineRecord('engine-1', 2_000)).kind, 'stored');
  t.is(registry.readyOf(record.service).length, 1);
});
