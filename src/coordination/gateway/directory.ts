/**
 * Answers callers that ask which routers they may connect to. It names routers by its own evidence that
 * they run, never by the group's view alone: the view keeps a silent member until it is declared dead,
 * which takes the longer the larger the group and the more of it is gone.
 */
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { MemberUpdate } from '../../state/membership.js';
import { type CallerPlace, addressesFor } from './directory-answer.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** The group, as far as the directory needs it. */
export interface DirectoryGroup {
  /** What this router says of itself. */
  readonly own: MemberUpdate;
  /** Members that take work, this one included while it does. */
  readonly working: readonly MemberUpdate[];
  /** Those of them that were heard lately. */
  readonly responding: readonly MemberUpdate[];
  /** Time since a member was last heard, in milliseconds; 0 for this router. */
  silenceMs(nodeId: string): number;
}

/** The directory of one router. */
export class Directory {
  constructor(
    private readonly group: DirectoryGroup,
    private readonly random: RandomSource,
    private readonly statistics: GatewayStatistics,
    private readonly logger: Logger,
  ) {}

  /**
   * Addresses that the caller may connect to.
   *
   * @param isOwnReady whether this router itself takes callers
   */
  answer(place: CallerPlace, isOwnReady: boolean): string[] {
    const { own, responding } = this.group;
    const candidates = responding.filter((member) => member.nodeId !== own.nodeId || isOwnReady);
    const addresses = addressesFor(place, candidates, this.random);
    this.note(place, candidates, addresses);
    return addresses;
  }

  private note(
    place: CallerPlace,
    candidates: readonly MemberUpdate[],
    addresses: readonly string[],
  ): void {
    this.statistics.directoryAnswers += 1;
    const isNamed = new Set(addresses);
    const named = candidates.filter(({ peerAddress }) => isNamed.has(peerAddress));
    const silences = named.map(({ nodeId }) => this.group.silenceMs(nodeId));
    this.logger.info('directory_answered', {
      zone: place.zone,
      named: named.length,
      responding: candidates.length,
      working: this.group.working.length,
      longest_silence_ms: silences.length > 0 ? Math.round(Math.max(...silences)) : undefined,
    });
  }
}
