/** An order for new weights leaves when the other routers have heard that its engine is about to load. */
import test from 'ava';
import { EngineLives } from '../../src/coordination/gateway/engine-lives.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import type { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { WeightCoordinator } from '../../src/coordination/gateway/weight-coordinator.js';
import type { InferencePort } from '../../src/protocol/inference/port.js';
import { SilentLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { KeptPrefixes } from '../../src/state/routing/kept-prefixes.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { SendRate } from '../../src/state/routing/send-rate.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';

const MODEL = 'model-a';
const ANNOUNCEMENT_MS = 150;

/** A router that holds the lease, before one engine whose weights are out of time. */
function coordinatorWorld() {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  registry.put({
    id: 'engine-0',
    name: 'engine-0',
    bornMs: undefined,
    service: 'generation',
    address: 'engine-0:1',
    zone: 'zone-a',
    slots: 8,
    isDraining: false,
    modelVersions: new Map([[MODEL, 1]]),
  });
  const versions = new WeightVersions(1_000, new StoreOutages());
  versions.note(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  const lease = {
    activeToken: 7 as number | undefined,
    heldRevision: 1,
    isUnknown: false,
    hear: () => undefined,
    advance: () => Promise.resolve(),
  };
  const announcedMs: number[] = [];
  const orderedMs: number[] = [];
  const engines = {
    weightState: () => Promise.resolve({ version: 1, isBusy: false, orderSequence: 0 }),
    order: () => {
      orderedMs.push(clock.now());
      return Promise.resolve({ kind: 'accepted' as const });
    },
  };
  const health = new EngineHealth();
  const statistics = new GatewayStatistics();
  const logger = new SilentLogger();
  const coordinator = new WeightCoordinator(
    {
      registry,
      lives: new EngineLives(registry, statistics, logger),
      versions,
      loads: new LoadTable(),
      health,
      kept: new KeptPrefixes(),
      engines: engines as unknown as InferencePort,
      lease: lease as unknown as LeaseKeeper,
      requestRate: new SendRate(),
      statistics,
      clock,
      logger,
    },
    {
      holder: 'router-0',
      rollout: {
        graceMs: 1_000,
        batchMs: 500,
        batches: 4,
        marginMs: 0,
        handoverMs: 0,
        replacedWeightsLoss: 0.2,
        loadCostRequests: 2,
      },
      isKnownService: () => true,
      respondingRouters: () => ['router-0'],
      isAvailable: () => true,
      shareOfTraffic: () => 1,
      announce: () => announcedMs.push(clock.now()),
      announcementMs: () => ANNOUNCEMENT_MS,
    },
  );
  coordinator.start();
  return { clock, coordinator, lease, health, announcedMs, orderedMs };
}

test('an order follows its announcement by the time that needs to reach the others', async (t) => {
  const { clock, coordinator, health, announcedMs, orderedMs } = coordinatorWorld();
  await clock.advance(1_200);
  t.is(orderedMs.length, 1);
  t.true((orderedMs[0] ?? 0) - (announcedMs[0] ?? Infinity) >= ANNOUNCEMENT_MS);
  t.true(health.isLoading('engine-0', clock.now()));
  coordinator.stop();
});

test('a lease that was lost since the announcement gives no order', async (t) => {
  const { clock, coordinator, lease, health, announcedMs, orderedMs } = coordinatorWorld();
  while (announcedMs.length === 0) await clock.advance(10);
  lease.activeToken = undefined;
  await clock.advance(ANNOUNCEMENT_MS + 50);
  t.deepEqual(orderedMs, []);
  t.false(health.isLoading('engine-0', clock.now()));
  coordinator.stop();
});

test('a router that leaves after its announcement gives no order', async (t) => {
  const { clock, coordinator, announcedMs, orderedMs } = coordinatorWorld();
  while (announcedMs.length === 0) await clock.advance(10);
  coordinator.leave();
  await clock.advance(1_000);
  t.deepEqual(orderedMs, []);
  coordinator.stop();
});
