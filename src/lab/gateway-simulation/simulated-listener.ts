/** Whether connections to a simulated engine are accepted, and which incarnation accepts them. */
import {
  type DatedEndpoint,
  IncarnationState,
  ListenerState,
} from '../../protocol/inference/port.js';
import type { EngineLink } from './engine-links.js';
import type { SimulatedFleet } from './simulated-fleet.js';

/** What a connection to the address over the link shows; without a link, nothing does. */
export function listenerStateAt(
  fleet: SimulatedFleet,
  link: EngineLink | undefined,
  address: string,
): ListenerState {
  if (!link || link.isUnresponsive) return ListenerState.Unresponsive;
  if (link.cut !== undefined) return ListenerState.Refused;
  if (fleet.partitionAt(address)) return ListenerState.Unresponsive;
  if (fleet.hasProxies || fleet.latestAt(address)?.isRunning) return ListenerState.Listening;
  return fleet.ignoresConnections ? ListenerState.Unresponsive : ListenerState.Refused;
}

/** The incarnation that answers at the address of an engine. */
export function incarnationStateAt(
  fleet: SimulatedFleet,
  link: EngineLink | undefined,
  { address, startedAtMs }: DatedEndpoint,
): IncarnationState {
  const state = listenerStateAt(fleet, link, address);
  if (state !== ListenerState.Listening) return IncarnationState.Unknown;
  const engine = fleet.latestAt(address);
  if (!engine?.isRunning) return IncarnationState.Unknown;
  return engine.startedAtMs === startedAtMs ? IncarnationState.Same : IncarnationState.Other;
}
