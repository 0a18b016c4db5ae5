/** Logs changes of the membership view: members that became suspected, dead or leaving. */
import type { Logger } from '../../runtime/logger.js';
import { MemberStatus, type MemberUpdate, isWorking } from '../../state/membership.js';

/** Members named per status in one log line; further ones are only counted. */
const MAXIMUM_LISTED = 6;

/** Compares each view with the previous one. */
export class GroupChangeLog {
  private statuses = new Map<string, MemberStatus>();

  constructor(private readonly logger: Logger) {}

  /** @param silenceMs milliseconds since the last heartbeat of a member */
  logChanges(members: readonly MemberUpdate[], heartbeatAgeMs: (nodeId: string) => number): void {
    const changed = members.filter(
      ({ nodeId, status }) => this.statuses.get(nodeId) !== status && status !== MemberStatus.Alive,
    );
    this.statuses = new Map(members.map(({ nodeId, status }) => [nodeId, status]));
    const named = (status: MemberStatus): string | undefined =>
      joinNames(changed.filter((member) => member.status === status));
    const silences = changed.map(({ nodeId }) => heartbeatAgeMs(nodeId)).filter(Number.isFinite);
    this.logger.info('group_changed', {
      working: members.filter(isWorking).length,
      known: members.length,
      suspected: named(MemberStatus.Suspect),
      dead: named(MemberStatus.Dead),
      leaving: named(MemberStatus.Leaving),
      longest_silence_ms: silences.length > 0 ? Math.round(Math.max(...silences)) : undefined,
    });
  }
}

function joinNames(members: readonly MemberUpdate[]): string | undefined {
  if (members.length === 0) return undefined;
  const names = members.slice(0, MAXIMUM_LISTED).map(({ nodeId }) => nodeId);
  const rest = members.length - names.length;
  return rest > 0 ? `${names.join(',')},+${rest}` : names.join(',');
}
