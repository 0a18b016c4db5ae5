/** Events of a group for tests that look at few of them. */
import type { GroupEvents } from '../../src/coordination/gateway/group-reports.js';

/** Tells nothing and takes nothing, but for what is given. */
export function silentGroupEvents(events: Partial<GroupEvents> = {}): GroupEvents {
  return {
    weightsNews: () => [],
    onWeightsNews: () => undefined,
    versionNotices: () => [],
    onVersionNotice: () => undefined,
    heldLease: () => undefined,
    onHeldLease: () => undefined,
    hasCrashNews: false,
    limitNotices: () => [],
    onLimitNotice: () => undefined,
    takeCrashNews: () => ({ crashes: [], quarantine: [] }),
    onCrashNews: () => false,
    ...events,
  };
}
