/** Objects shared by all requests of one router. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineHealth } from '../../state/routing/engine-health.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import type { HomeRanking } from '../../state/routing/home-ranking.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import type { LoadTable } from '../../state/routing/load-table.js';
import type { SendRate } from '../../state/routing/send-rate.js';
import {
  type RetryBudgetSettings,
  SharedRetryBudget,
} from '../../state/routing/shared-retry-budget.js';
import type { SlotView } from '../../state/routing/send-slots.js';
import type { TrafficSplit } from '../../state/routing/traffic-split.js';
import type { WeightVersions } from '../../state/routing/weight-versions.js';
import type { RequestQueues } from './admission/request-queues.js';
import type { BrittleEngineDiscovery } from './brittle-engine-discovery.js';
import type { CrashProtection } from './crash-protection.js';
import type { EngineIncarnationTracker } from './engine-incarnation-tracker.js';
import type { EngineForwarding } from './engine-path/engine-forwarding.js';
import type { EnginePathMonitor } from './engine-path/engine-path-monitor.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { LoadSharingViews } from './load-sharing.js';
import type { EngineLimitDiscovery } from './engine-limit-discovery.js';
import type { TenantQuotas } from './quota/tenant-quotas.js';
import type { MemoryBudget } from './memory-budget.js';
import type { Rejections } from './rejections.js';
import type { Shutdown } from './shutdown.js';
import type { StreamOriginExchange } from './stream-origin-exchange.js';
import type { ResponseEndCheck } from './response-end-check.js';

/** Retry budgets by service, created on first use. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  constructor(private readonly settings: RetryBudgetSettings) {}

  of(service: string): SharedRetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new SharedRetryBudget(this.settings);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}

/** The group of routers, as far as requests need it. */
export interface GroupView {
  /** Number of routers that are considered alive, including this one; at least 1. */
  readonly size: number;
}

/** Dependencies that all requests of one router share. */
export interface GatewayContext extends LoadSharingViews {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly homes: HomeRanking;
  readonly logger: Logger;
  readonly engines: InferencePort;
  readonly enginePath: EnginePathMonitor;
  readonly forwarding: EngineForwarding;
  readonly configuration: ConfigurationState;
  readonly registry: EngineRegistry;
  readonly incarnations: EngineIncarnationTracker;
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  readonly limitDiscovery: EngineLimitDiscovery;
  readonly brittleness: BrittleEngineDiscovery;
  readonly cachedPrefixes: CachedPrefixes;
  readonly versions: WeightVersions;
  /** Rate of requests that this router sends to engines. */
  readonly requestRate: SendRate;
  /** Rate of the prompt tokens that no other request shares. */
  readonly ownTokenRate: SendRate;
  /** This router's share of the group's requests, greater than 0 and at most 1. */
  shareOfTraffic(): number;
  /** Returns the current inputs that decide this router's slots at rate-limited engines. */
  slotView(this: void): SlotView;
  readonly split: TrafficSplit;
  readonly retryBudgets: ServiceRetryBudgets;
  readonly group: GroupView;
  readonly crashes: CrashProtection;
  readonly responseEnds: ResponseEndCheck;
  readonly rejections: Rejections;
  readonly quotas: TenantQuotas;
  readonly streamOrigins: StreamOriginExchange;
  /** Undefined if requests never wait in the router. */
  readonly queues: RequestQueues | undefined;
  /** Undefined if the bytes held for callers and engines are not bounded. */
  readonly memory: MemoryBudget | undefined;
  readonly shutdown: Shutdown;
  readonly statistics: GatewayStatistics;
  readonly zone: string;
}
