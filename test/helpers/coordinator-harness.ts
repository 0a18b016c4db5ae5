/** Harness of a coordinator that holds the lease, with one engine whose weights are outdated. */
import {
  EngineIncarnationTracker,
  type EngineRestart,
} from '../../src/coordination/gateway/engine-incarnation-tracker.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import type { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { WeightCoordinator } from '../../src/coordination/gateway/weight-coordinator.js';
import type {
  InferencePort,
  LoadCommandResult,
  LoadCommandRequest,
  WeightState,
} from '../../src/protocol/inference/port.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { SendRate } from '../../src/state/routing/send-rate.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { RecordedLog } from './engine-list-harness.js';
import { engineRecord } from './engine-record.js';

const MODEL = 'model-a';
export const ANNOUNCEMENT_MS = 150;
const STATE: WeightState = { version: 1, isBusy: false, orderSequence: 0 };

/** State and responses of the engine. */
export interface CoordinatorOptions {
  readonly startedAtMs?: number;
  readonly isKnownService?: boolean;
  /** Creates the lease; by default, a stub that always holds it. */
  createLease?(clock: VirtualClock): LeaseKeeper;
  state?(): Partial<WeightState>;
  sendLoadCommand?(): Promise<LoadCommandResult>;
}

/** Creates and starts a coordinator that holds the lease, with one engine with outdated weights. */
export function coordinatorHarness(options: CoordinatorOptions = {}) {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  const restarts: EngineRestart[] = [];
  const statistics = new GatewayStatistics();
  const log = new RecordedLog();
  const incarnations = new EngineIncarnationTracker(registry, statistics, log);
  incarnations.connect({
    onChanged: () => undefined,
    onEntry: () => undefined,
    onRestarted: (restart) => restarts.push(restart),
  });
  incarnations.applyEntry(engineRecord('engine-0', options.startedAtMs));
  const versions = new WeightVersions(1_000, new StoreOutages());
  versions.record(MODEL, { version: 2, namedMs: 0, isWitnessed: true });
  const lease = {
    activeToken: 7 as number | undefined,
    heldRevision: 1,
    isUnknown: false,
    renewalAgeMs: 0,
    renewedToken: () => Promise.resolve(lease.activeToken),
    observePosition: () => undefined,
    advance: () => Promise.resolve(),
  };
  const announcedMs: number[] = [];
  const sentMs: number[] = [];
  const loadCommands: LoadCommandRequest[] = [];
  const engines = {
    readWeightState: () => Promise.resolve({ ...STATE, ...options.state?.() }),
    sendLoadCommand: (_endpoint: unknown, command: LoadCommandRequest) => {
      sentMs.push(clock.now());
      loadCommands.push(command);
      return options.sendLoadCommand?.() ?? Promise.resolve({ kind: 'accepted' as const });
    },
  };
  const health = new EngineHealth();
  const coordinator = new WeightCoordinator(
    {
      registry,
      incarnations,
      versions,
      loads: new LoadTable(),
      health,
      cachedPrefixes: new CachedPrefixes(),
      engines: engines as unknown as InferencePort,
      lease: options.createLease?.(clock) ?? (lease as unknown as LeaseKeeper),
      requestRate: new SendRate(),
      statistics,
      clock,
      logger: log,
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
      isKnownService: () => options.isKnownService ?? true,
      respondingRouters: () => ['router-0'],
      isAvailable: () => true,
      reachesEngines: () => true,
      shareOfTraffic: () => 1,
      announce: () => announcedMs.push(clock.now()),
      announcementMs: () => ANNOUNCEMENT_MS,
    },
  );
  coordinator.start();
  return {
    clock,
    coordinator,
    registry,
    incarnations,
    lease,
    log,
    health,
    announcedMs,
    sentMs,
    loadCommands,
    restarts,
  };
}
