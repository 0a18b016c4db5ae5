/**
 * Returns to callers the routers that they may connect to. Only routers with a recent heartbeat are
 * included: the membership view keeps an unresponsive member until it is declared dead, which takes
 * long in large groups and after large failures.
 */
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { MemberUpdate } from '../../state/membership.js';
import { type CallerLocation, addressesFor } from './directory-addresses.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** The parts of the group that the directory uses. */
export interface DirectoryGroup {
  readonly own: MemberUpdate;
  /** Members that accept work, including this router while it does. */
  readonly working: readonly MemberUpdate[];
  /** The working members with a recent heartbeat. */
  readonly responding: readonly MemberUpdate[];
  /** Milliseconds since the last heartbeat of a member; 0 for this router. */
  heartbeatAgeMs(nodeId: string): number;
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
   * Returns the addresses to which the caller may connect.
   *
   * @param isOwnReady whether this router itself accepts callers
   */
  resolve(location: CallerLocation, isOwnReady: boolean): string[] {
    const { own, responding } = this.group;
    const candidates = responding.filter((member) => member.nodeId !== own.nodeId || isOwnReady);
    const addresses = addressesFor(location, candidates, this.random);
    this.recordResponse(location, candidates, addresses);
    return addresses;
  }

  private recordResponse(
    location: CallerLocation,
    candidates: readonly MemberUpdate[],
    addresses: readonly string[],
  ): void {
    this.statistics.directoryAnswers += 1;
    const selectedAddresses = new Set(addresses);
    const returned = candidates.filter(({ peerAddress }) => selectedAddresses.has(peerAddress));
    const silences = returned.map(({ nodeId }) => this.group.heartbeatAgeMs(nodeId));
    this.logger.info('directory_answered', {
      zone: location.zone,
      named: returned.length,
      responding: candidates.length,
      working: this.group.working.length,
      longest_silence_ms: silences.length > 0 ? Math.round(Math.max(...silences)) : undefined,
    });
  }
}
