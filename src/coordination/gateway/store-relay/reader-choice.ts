/**
 * Which router one router follows the store through, by what its questions have met: readers that do not
 * answer, or whose own way to the store is lost, are left alone for a while.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { MemberUpdate } from '../../../state/membership.js';
import { PeerCooldowns } from '../../../state/routing/peer-cooldowns.js';
import {
  type ReaderPolicy,
  chooseReaders,
  readerFor,
} from '../../../state/routing/store-readers.js';

/** The group, as far as the relay needs it. */
export interface RelayGroup {
  /** Working routers, this one included; the same list until one of them changes. */
  readonly working: readonly MemberUpdate[];
  /** Relay addresses to ask before any member is known. */
  readonly seeds: readonly string[];
}

/** A reader that did not answer, or without a recent proof, is left alone for this long. */
export const AVOID_MS = 3_000;

/** The choice of one router. */
export class ReaderChoice {
  /** Readers that did not answer. */
  private readonly silent = new PeerCooldowns(AVOID_MS);
  /** Readers that answered without a recent proof: their way to the store is lost. */
  private readonly outdated = new PeerCooldowns(AVOID_MS);

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

  /** The reader to follow through; undefined where there is none to be asked now. */
  get reader(): MemberUpdate | undefined {
    const isAvoided = (nodeId: string): boolean =>
      this.silent.has(nodeId, this.clock.now()) || this.isOutdated(nodeId);
    const { working } = this.group;
    return readerFor(this.own, working, this.policy, isAvoided, this.chosen);
  }

  /** Readers that this router may ask; none in a small group or where it is a reader itself. */
  get readers(): readonly MemberUpdate[] {
    if (!this.isLargeGroup) return [];
    const readers = this.chosen;
    return readers.some(({ nodeId }) => nodeId === this.own.nodeId) ? [] : readers;
  }

  /** Whether a reader was found to have lost the store; asked where none is left to follow through. */
  get isStoreOut(): boolean {
    return this.readers.some(({ nodeId }) => this.isOutdated(nodeId));
  }

  /** All other working routers. */
  get others(): readonly MemberUpdate[] {
    return this.group.working.filter(({ nodeId }) => nodeId !== this.own.nodeId);
  }

  noteSilent({ nodeId }: MemberUpdate): void {
    this.silent.add(nodeId, this.clock.now());
  }

  noteOutdated({ nodeId }: MemberUpdate): void {
    this.outdated.add(nodeId, this.clock.now());
  }

  noteRecent({ nodeId }: MemberUpdate): void {
    this.outdated.remove(nodeId);
  }

  /** All readers, chosen anew only when the members have changed: that sorts them. */
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
