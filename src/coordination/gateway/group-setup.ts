/** Opens the group's socket with the identity that the settings give this router. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GroupEventTarget } from './group-event-target.js';
import { GroupMembership } from './group-membership.js';

/** Dependencies of a membership. */
export interface GroupDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly datagrams: DatagramTransport;
}

/** Opens the membership of one router; it joins the group later. */
export function openGroup(
  settings: GatewaySettings,
  dependencies: GroupDependencies,
  events: GroupEventTarget,
): Promise<GroupMembership> {
  const { clock, random, logger, datagrams } = dependencies;
  const { nodeId, zone, region, frontendAddress, gossipAddress, seeds, capacity } = settings;
  const identity = {
    nodeId,
    zone,
    region,
    gossipAddress,
    peerAddress: frontendAddress,
    capacity,
  };
  return GroupMembership.open(
    { identity, seeds },
    datagrams,
    events.loads,
    events,
    clock,
    random,
    logger,
  );
}
