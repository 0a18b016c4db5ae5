/**
 * State by which the routers of a group share load that is hard to serve: what engines can do, what
 * they have cached, and what each tenant uses of them.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { DEFAULT_ENGINE_SPEEDS, type EngineSpeedView } from '../../state/routing/engine-speeds.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { EQUAL_TENANTS, type TenantRanking } from '../../state/routing/tenant-shares.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import { EngineSpeedExchange } from './engine-speed-exchange.js';
import { type DisabledFeatures, LoadSharingFeature } from './load-sharing-settings.js';
import type { ObservationParts } from './observation-exchange.js';
import { NO_SPEED_OBSERVER, type SpeedObserver } from './speed-observer.js';

/** Dependencies of {@link LoadSharing}. */
export interface LoadSharingParts {
  /** Identifier of this router in the group. */
  readonly nodeId: string;
  readonly registry: EngineRegistry;
  readonly disabled: DisabledFeatures;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Load-sharing state of one router. */
export class LoadSharing {
  readonly speeds: EngineSpeedView;
  readonly speedObserver: SpeedObserver;
  readonly tenantRanking: TenantRanking = EQUAL_TENANTS;
  /** What is exchanged with the other routers. */
  readonly observations: ObservationParts;

  constructor(readonly parts: LoadSharingParts) {
    const isLearning = !parts.disabled.has(LoadSharingFeature.EngineSpeeds);
    const engineSpeeds = isLearning ? new EngineSpeedExchange(parts) : undefined;
    this.speeds = engineSpeeds?.table ?? DEFAULT_ENGINE_SPEEDS;
    this.speedObserver = engineSpeeds ?? NO_SPEED_OBSERVER;
    this.observations = engineSpeeds ? { engineSpeeds } : {};
  }
}
