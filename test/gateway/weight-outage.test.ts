/**
 * An outage of the store must not consume the time for a rollout, nor cause a burst of lease calls.
 */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { ProtocolFailure } from '../../src/protocol/errors.js';
import type { ObjectStorePort } from '../../src/protocol/object-store/port.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { WeightLease } from '../../src/state/routing/weight-lease.js';

const STEP_MS = 20;

test('outage time does not count towards deadlines and never exceeds the actual outage', (t) => {
  const gaps = fc.array(
    fc.tuple(fc.integer({ min: 1, max: 3_000 }), fc.integer({ min: 1, max: 6_000 })),
    {
      maxLength: 10,
    },
  );
  const property = fc.property(gaps, fc.nat(40_000), fc.nat(40_000), (spans, left, right) => {
    const outages = new StoreOutages();
    const [fromMs, toMs] = [Math.min(left, right), Math.max(left, right)];
    let now = 0;
    let longestMs = 0;
    for (const [availableMs, outageMs] of spans) {
      now += availableMs;
      outages.recordFailure(now);
      outages.recordFailure(now);
      longestMs += Math.max(0, Math.min(toMs, now + outageMs) - Math.max(fromMs, now));
      now += outageMs;
      outages.recordResponse(now);
    }
    return outages.outageMsBetween(fromMs, toMs) <= longestMs;
  });
  fc.assert(property, { seed: 9, numRuns: 300 });
  const outages = new StoreOutages();
  outages.recordFailure(1_000);
  t.is(outages.outageMsBetween(0, 5_000), 3_250);
  outages.recordResponse(3_000);
  t.is(outages.outageMsBetween(0, 5_000), 1_250);
});

test('weights named before an outage do not leave the service without an engine', async (t) => {
  const OUTAGE_MS = 6_500;
  const simulation = await GatewaySimulation.create(11);
  simulation.publishWeights();
  await simulation.clock.advance(1_000);
  simulation.stopStore(OUTAGE_MS);
  await simulation.clock.advance(OUTAGE_MS);
  const first = simulation.requests.length;
  // Waits until the configuration is proven current again, then runs the whole rollout.
  await simulation.clock.advance(800);
  for (let spentMs = 0; spentMs < 9_000; spentMs += STEP_MS) {
    simulation.request(spentMs / STEP_MS, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(STEP_MS);
  }
  await simulation.settle();
  const refused = simulation.requests
    .slice(first)
    .filter((request) => request.reply.own?.reason === 'no-engine');
  t.is(refused.length, 0);
  t.true(simulation.fleet.generationEngines.every((engine) => engine.weightsVersion === 2));
  t.deepEqual(findBreaches(simulation), []);
});

test('lease calls that the store rejects are repeated with increasing pauses', async (t) => {
  const clock = new VirtualClock();
  let calls = 0;
  const refuse = (): Promise<never> => {
    calls += 1;
    return Promise.reject(new ProtocolFailure({ kind: 'rejected', status: 503, reason: 'read' }));
  };
  const store: ObjectStorePort = {
    list: refuse,
    watch: refuse,
    read: refuse,
    create: refuse,
    replace: refuse,
    remove: refuse,
  };
  const eras = new StoreEras(true);
  const lease = new WeightLease({ holder: 'a', life: '1', leaseMs: 3_000, actMs: 500 }, eras);
  const keeper = new LeaseKeeper('leases', lease, eras, store, clock, new NoopLogger());
  for (let spentMs = 0; spentMs < 6_000; spentMs += 100) {
    await keeper.advance();
    await clock.advance(100);
  }
  t.true(calls >= 4 && calls <= 8, `${calls} calls`);
});
