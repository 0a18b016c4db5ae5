/** Events of a store follower that are ignored except for those that a test handles. */
import type { FollowerEvents } from '../../src/coordination/gateway/object-follower.js';

/** @param events handlers that replace the ones that do nothing */
export function noopFollowerEvents(events: Partial<FollowerEvents> = {}): FollowerEvents {
  return {
    onList: () => undefined,
    onObject: () => undefined,
    onRemoved: () => undefined,
    onUnnamed: () => undefined,
    onAnswer: () => undefined,
    onFailure: () => undefined,
    onHistoryLost: () => undefined,
    onRestored: () => undefined,
    ...events,
  };
}
