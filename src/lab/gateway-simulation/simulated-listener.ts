/** Whether connections to a simulated engine are accepted, and which incarnation accepts them. */
import {
  type DatedEndpoint,
  type IncarnationCheck,
  IncarnationState,
  ListenerState,
  UNKNOWN_INCARNATION,
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
export function checkIncarnationAt(
  fleet: SimulatedFleet,
  link: EngineLink | undefined,
  { address, startedAtMs }: DatedEndpoint,
): IncarnationCheck {
  const state = listenerStateAt(fleet, link, address);
  const engine = state === ListenerState.Listening ? fleet.latestAt(address) : undefined;
  if (!engine?.isRunning) return UNKNOWN_INCARNATION;
  const isSame = engine.startedAtMs === startedAtMs;
  return {
    state: isSame ? IncarnationState.Same : IncarnationState.Other,
    startedAtMs: engine.startedAtMs,
  };
}
