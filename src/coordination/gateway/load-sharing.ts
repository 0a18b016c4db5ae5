/**
 * State by which the routers of a group share load that is hard to serve: what engines can do, what
 * they have cached, and what each tenant uses of them.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { DEFAULT_ENGINE_SPEEDS, type EngineSpeedView } from '../../state/routing/engine-speeds.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import {
  EQUAL_TENANTS,
  type TenantRanking,
  TenantShares,
} from '../../state/routing/tenant-shares.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import { EngineSpeedExchange } from './engine-speed-exchange.js';
import { type DisabledFeatures, LoadSharingFeature } from './load-sharing-settings.js';
import type { ObservationParts } from './observation-exchange.js';
import { PrefixReadExchange, type PrefixReadParts } from './prefix-read-exchange.js';
import { NO_SPEED_OBSERVER, type SpeedObserver } from './speed-observer.js';
import { LoggedTenantRanking } from './tenant-share-log.js';
import { TenantUseExchange } from './tenant-use-exchange.js';

/** Dependencies of {@link LoadSharing}. */
export interface LoadSharingParts extends PrefixReadParts {
  /** Identifier of this router in the group. */
  readonly nodeId: string;
  readonly registry: EngineRegistry;
  readonly disabled: DisabledFeatures;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Load-sharing state as requests use it. */
export interface LoadSharingViews {
  readonly speeds: EngineSpeedView;
  readonly speedObserver: SpeedObserver;
  /** Exchange of the prefixes that engines have read; undefined if it is disabled. */
  readonly prefixReads: PrefixReadExchange | undefined;
  /** Records what tenants ask for and get; also while the ranking is switched off. */
  readonly tenantShares: TenantShares;
  readonly tenantRanking: TenantRanking;
  readonly disabledFeatures: DisabledFeatures;
}

/** Load-sharing state of one router. */
export class LoadSharing {
  readonly views: LoadSharingViews;
  /** What is exchanged with the other routers. */
  readonly observations: ObservationParts;

  constructor(parts: LoadSharingParts) {
    const { disabled } = parts;
    const isEnabled = (feature: LoadSharingFeature): boolean => !disabled.has(feature);
    const engineSpeeds = isEnabled(LoadSharingFeature.EngineSpeeds)
      ? new EngineSpeedExchange(parts)
      : undefined;
    const prefixReads = isEnabled(LoadSharingFeature.PrefixReads)
      ? new PrefixReadExchange(parts)
      : undefined;
    const tenantShares = new TenantShares();
    const tenantUses = isEnabled(LoadSharingFeature.TenantShares)
      ? new TenantUseExchange(tenantShares)
      : undefined;
    this.views = {
      speeds: engineSpeeds?.table ?? DEFAULT_ENGINE_SPEEDS,
      speedObserver: engineSpeeds ?? NO_SPEED_OBSERVER,
      prefixReads,
      tenantShares,
      tenantRanking: tenantUses
        ? new LoggedTenantRanking(tenantShares, parts.statistics, parts.logger)
        : EQUAL_TENANTS,
      disabledFeatures: disabled,
    };
    this.observations = {
      ...(engineSpeeds && { engineSpeeds }),
      ...(prefixReads && { prefixReads }),
      ...(tenantUses && { tenantUses }),
    };
  }
}
