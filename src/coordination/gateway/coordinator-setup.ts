/** Creates the weight coordinator of one router from the router's components. */
import { randomIdentifier, type RandomSource } from '../../runtime/random.js';
import type { ObjectStorePort } from '../../protocol/object-store/port.js';
import type { StoreEras } from '../../state/routing/store-eras.js';
import { byCapacity } from '../../state/routing/store-readers.js';
import { WeightLease } from '../../state/routing/weight-lease.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GroupMembership } from './group-membership.js';
import { LeaseKeeper } from './lease-keeper.js';
import type { ListedEngines } from './listed-engines.js';
import { WeightCoordinator, type CoordinatorParts } from './weight-coordinator.js';

/** Components of the router that the coordinator uses. */
export interface CoordinatorSources extends Omit<
  CoordinatorParts,
  'lease' | 'registry' | 'incarnations'
> {
  readonly settings: GatewaySettings;
  readonly group: GroupMembership;
  readonly listed: ListedEngines;
  readonly store: ObjectStorePort;
  readonly eras: StoreEras;
  readonly random: RandomSource;
  /** Share of the group's requests that this router receives, above 0 to 1. */
  shareOfTraffic(): number;
  /** Whether this router can reach engines. */
  reachesEngines(): boolean;
}

/** Creates a coordinator that is not yet started. */
export function createCoordinator(sources: CoordinatorSources): WeightCoordinator {
  const { settings, group, listed, store, eras, clock, random, logger } = sources;
  const lease = new WeightLease(
    {
      holder: settings.nodeId,
      life: randomIdentifier(random),
      leaseMs: settings.leaseMs,
      actMs: settings.leaseActMs,
    },
    eras,
  );
  return new WeightCoordinator(
    {
      ...sources,
      registry: listed.registry,
      incarnations: listed.incarnations,
      lease: new LeaseKeeper(settings.kinds.leases, lease, eras, store, clock, logger),
    },
    {
      holder: settings.nodeId,
      rollout: settings.rollout,
      isKnownService: (service) => listed.isKnownService(service),
      respondingRouters: () => group.responding.sort(byCapacity).map(({ nodeId }) => nodeId),
      isAvailable: (router) => group.isAvailable(router),
      shareOfTraffic: () => sources.shareOfTraffic(),
      reachesEngines: () => sources.reachesEngines(),
      announce: () => group.reportNow(),
      announcementMs: () => group.propagationMs,
    },
  );
}
