/**
 * When a router reads and writes the record of builds. Every router reads it until it holds what the
 * router sees, since each must know that itself; some, by rank, write what is missing, one after another,
 * so that one write usually suffices.
 */
import type { Clock } from '../../runtime/clock.js';
import type { HomeRanking } from '../../state/routing/home-ranking.js';
import type { BuildRecord } from './build-record.js';
import type { QuotaGroup } from './quota/quota-group.js';

/** Dependencies of {@link BuildRecordTurns}. */
export interface BuildRecordTurnsParts {
  readonly group: Pick<QuotaGroup, 'ownAddress' | 'quotaOwnerAddresses' | 'isSettled'>;
  readonly homes: HomeRanking;
  readonly clock: Clock;
}

/** Routers that write the record, in the order of their rank: the store may refuse some of them. */
const WRITERS = 8;
/** Key by which these routers are ranked. */
const RANKING_KEY = 'builds';
/** Time that each of them leaves to those before it. */
const TURN_MS = 500;

/** Decides the turns of one router. */
export class BuildRecordTurns {
  /** Time since which the record is not that of the history; undefined while it is. */
  private outdatedSinceMs: number | undefined;

  constructor(
    private readonly record: BuildRecord,
    private readonly parts: BuildRecordTurnsParts,
  ) {}

  /**
   * Lets the record be read, and written if it is this router's turn, unless it is current.
   *
   * @param knowsHistory whether the router knows every build within the retention
   */
  update(knowsHistory: boolean): void {
    if (this.record.isCurrent) this.outdatedSinceMs = undefined;
    if (this.record.isFresh) return;
    this.outdatedSinceMs ??= this.parts.clock.now();
    void this.record.update(this.isOwnTurn(this.outdatedSinceMs), knowsHistory);
  }

  private isOwnTurn(outdatedSinceMs: number): boolean {
    const { homes, group, clock } = this.parts;
    if (!group.isSettled) return false;
    const { quotaOwnerAddresses: addresses, ownAddress } = group;
    const writers = homes.first(RANKING_KEY, addresses, (address) => address, WRITERS);
    const rank = writers.indexOf(ownAddress);
    return rank >= 0 && clock.now() - outdatedSinceMs >= rank * TURN_MS;
  }
}
