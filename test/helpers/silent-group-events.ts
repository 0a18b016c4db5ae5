/** Group events that are ignored except for those that a test handles. */
import type { GroupEvents } from '../../src/coordination/gateway/group-reports.js';

/** @param events members that replace the empty announcements and the handlers that do nothing */
export function silentGroupEvents(events: Partial<GroupEvents> = {}): GroupEvents {
  return {
    weightsNews: () => [],
    onWeightsNews: () => undefined,
    versionAnnouncements: () => [],
    onVersionAnnouncement: () => undefined,
    heldLease: () => undefined,
    onHeldLease: () => undefined,
    hasCrashNews: false,
    limitAnnouncements: () => [],
    onLimitAnnouncement: () => undefined,
    takeCrashNews: () => ({ crashes: [], quarantine: [] }),
    onCrashNews: () => false,
    ...events,
  };
}
