/**
 * Chooses the reader, the router through which this router follows the store. Readers that are
 * unresponsive or have lost their own connection to the store are skipped during a cooldown.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { MemberUpdate } from '../../../state/membership.js';
import { PeerCooldowns } from '../../../state/routing/peer-cooldowns.js';
import {
  type ReaderPolicy,
  chooseReaders,
  readerFor,
} from '../../../state/routing/store-readers.js';

/** The parts of the group that the relay uses. */
export interface RelayGroup {
  /** Working routers, including this one; the same array until a member changes. */
  readonly working: readonly MemberUpdate[];
  /** Relay addresses to query before any member is known. */
  readonly seeds: readonly string[];
}

/** Cooldown of a reader that did not respond or has no recent proof. */
export const READER_COOLDOWN_MS = 3_000;

export class ReaderChoice {
  private readonly unresponsive = new PeerCooldowns(READER_COOLDOWN_MS);
  /** Readers that responded without a recent proof: they can't reach the store. */
  private readonly outdated = new PeerCooldowns(READER_COOLDOWN_MS);

  private chosenAmong: readonly MemberUpdate[] | undefined;
  private chosenReaders: readonly MemberUpdate[] = [];

  constructor(
    private readonly own: MemberUpdate,
    private readonly policy: ReaderPolicy,
    private readonly group: RelayGroup,
    private readonly clock: Clock,
  ) {}

  get isLargeGroup(): boolean {
    return this.group.working.length > this.policy.directGroupSize;
  }

  /** The reader to query; undefined if this router has none or all are in cooldown. */
  get reader(): MemberUpdate | undefined {
    const isInCooldown = (nodeId: string): boolean =>
      this.unresponsive.has(nodeId, this.clock.now()) || this.isOutdated(nodeId);
    const { working } = this.group;
    return readerFor(this.own, working, this.policy, isInCooldown, this.chosen);
  }

  /** Readers that this router may query; none in a small group or if it is a reader itself. */
  get readers(): readonly MemberUpdate[] {
    if (!this.isLargeGroup) return [];
    const readers = this.chosen;
    return readers.some(({ nodeId }) => nodeId === this.own.nodeId) ? [] : readers;
  }

  /** Whether a reader is outdated; only meaningful while {@link reader} is undefined. */
  get isStoreUnavailable(): boolean {
    return this.readers.some(({ nodeId }) => this.isOutdated(nodeId));
  }

  get others(): readonly MemberUpdate[] {
    return this.group.working.filter(({ nodeId }) => nodeId !== this.own.nodeId);
  }

  noteUnresponsive({ nodeId }: MemberUpdate): void {
    this.unresponsive.add(nodeId, this.clock.now());
  }

  noteOutdated({ nodeId }: MemberUpdate): void {
    this.outdated.add(nodeId, this.clock.now());
  }

  noteRecent({ nodeId }: MemberUpdate): void {
    this.outdated.remove(nodeId);
  }

  /** All readers; chosen again only after the members have changed, since that sorts them. */
  private get chosen(): readonly MemberUpdate[] {
    const { working } = this.group;
    if (working !== this.chosenAmong) {
      this.chosenAmong = working;
      this.chosenReaders = chooseReaders(working, this.policy);
    }
    return this.chosenReaders;
  }

  private isOutdated(nodeId: string): boolean {
    return this.outdated.has(nodeId, this.clock.now());
  }
}
