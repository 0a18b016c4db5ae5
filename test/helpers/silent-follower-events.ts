/** Events of a follower of the store that nobody listens to, but for those that a test needs. */
import type { FollowerEvents } from '../../src/coordination/gateway/object-follower.js';

/** @param events what the test listens to */
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
