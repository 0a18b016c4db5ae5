/** Dependencies of the load-sharing state, for tests. */
import type { LoadSharingParts } from '../../src/coordination/gateway/load-sharing.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { ConfigurationState } from '../../src/state/routing/configuration-state.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { SendRate } from '../../src/state/routing/send-rate.js';

/** Parts of a router without engines and configuration, with the given changes. */
export function loadSharingParts(changes: Partial<LoadSharingParts> = {}): LoadSharingParts {
  return {
    nodeId: 'router-0',
    registry: new EngineRegistry(),
    cachedPrefixes: new CachedPrefixes(),
    configuration: new ConfigurationState(Infinity),
    ownTokenRate: new SendRate(),
    shareOfTraffic: () => 1,
    disabled: new Set(),
    statistics: new GatewayStatistics(),
    clock: new VirtualClock(),
    logger: new NoopLogger(),
    ...changes,
  };
}
