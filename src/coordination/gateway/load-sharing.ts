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
import { type DisabledFeatures, LoadSharingFeature } from './load-sharing-settings.js';
import type { ObservationParts } from './observation-exchange.js';
import { PrefixReadExchange, type PrefixReadParts } from './prefix-read-exchange.js';
import { TenantUseExchange } from './tenant-use-exchange.js';

/** Dependencies of {@link LoadSharing}. */
export interface LoadSharingParts extends PrefixReadParts {
  readonly registry: EngineRegistry;
  readonly disabled: DisabledFeatures;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Load-sharing state of one router. */
export class LoadSharing {
  readonly speeds: EngineSpeedView = DEFAULT_ENGINE_SPEEDS;
  /** Records what tenants ask for and get; also while the ranking is switched off. */
  readonly tenantShares = new TenantShares();
  readonly tenantRanking: TenantRanking;
  /** What is exchanged with the other routers. */
  readonly observations: ObservationParts;
  /** Undefined if the feature is disabled. */
  readonly prefixReads: PrefixReadExchange | undefined;

  constructor(parts: LoadSharingParts) {
    const isEnabled = (feature: LoadSharingFeature): boolean => !parts.disabled.has(feature);
    this.prefixReads = isEnabled(LoadSharingFeature.PrefixReads)
      ? new PrefixReadExchange(parts)
      : undefined;
    const tenantUses = isEnabled(LoadSharingFeature.TenantShares)
      ? new TenantUseExchange(this.tenantShares)
      : undefined;
    this.tenantRanking = tenantUses ? this.tenantShares : EQUAL_TENANTS;
    this.observations = {
      ...(this.prefixReads && { prefixReads: this.prefixReads }),
      ...(tenantUses && { tenantUses }),
    };
  }
}
