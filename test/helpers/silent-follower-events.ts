/** Events of a store follower that are ignored except for those that a test handles. */
import type { FollowerEvents } from '../../src/coordination/gateway/object-follower.js';

/** @param events handlers that replace the ones that do nothing */
export function silentFollowerEvents(events: Partial<FollowerEvents> = {}): FollowerEvents {
  return {
    onList: () => undefined,
    onObject: () => undefined,
    onGone: () => undefined,
    onUnnamed: () => undefined,
    onAnswer: () => undefined,
    onFailure: () => undefined,
    onHistoryGone: () => undefined,
    onRestored: () => undefined,
    ...events,
  };
}
