/**
 * Requests of one service that wait in a router until an engine has capacity. Addresses bursts, a
 * tenant with far more requests than the others, and services whose engines reject when full. Pure.
 *
 * Requests are ordered by urgency, then by remaining slack, then by how much of its share the
 * tenant uses. Requests that return after a rejection go before new ones of the same urgency, and
 * requests that have missed their objective go after the others. The order alone could neglect a
 * tenant or the long prompts, so the next request is taken from a group whose served share is too
 * low.
 */
import { IndexedHeap } from './indexed-heap.js';
import { OrderedSet } from './ordered-set.js';
import { ServedShares } from './served-shares.js';

/** A request that may wait. Times are monotonic, in milliseconds. */
export interface QueueCandidate {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly tenant: string | undefined;
  /** Memory that the request occupies while it waits. */
  readonly bytes: number;
  /** Prompt tokens, or bytes of the body if the request generates nothing. */
  readonly size: number;
  /** Whether the request was rejected before, by an engine or by this router. */
  readonly isReturning: boolean;
  /** Latest time of a send by which the first token is expected within the objective. */
  readonly latestSendMs: number;
  /** Use of the tenant as a multiple of its share; see `TenantRanking`. */
  readonly useOfShare: number;
}

/** A request in the queue. */
export interface QueueEntry {
  readonly candidate: QueueCandidate;
  /** Whether the request has missed its objective. */
  readonly isLate: boolean;
  readonly sequence: number;
  /** Groups whose served share it counts towards. */
  readonly groups: readonly string[];
}

/** Bounds of one queue. */
export interface QueueBounds {
  readonly maximumRequests: number;
  readonly maximumBytes: number;
}

/** Result of an attempt to enter the queue. */
export type EnterResult =
  /** The evicted requests made room. */
  | {
      readonly kind: 'entered';
      readonly entry: QueueEntry;
      readonly evicted: readonly QueueEntry[];
    }
  | { readonly kind: 'full' };

/** Slack is compared in steps; within one step, the tenant's use decides. */
export const SLACK_STEP_MS = 50;
const LOWEST_PRIORITY = 9;
/** Share of the mean that each tenant is served at least; a quarter is promised. */
const MINIMUM_TENANT_SHARE = 0.4;
/** Share of the mean that the longest prompts are served at least; half is promised. */
const MINIMUM_LONG_SHARE = 0.7;
const LONG_GROUP = 'long';
/** Largest part of the requests of one urgency that counts as long. */
const LONG_PART = 0.1;
/** Latest requests among which the longest are determined. */
const SIZE_WINDOW = 128;
/** Requests after which the longest are determined again. */
const SIZE_PERIOD = 16;

/** Requests of one urgency. */
class QueueLevel {
  readonly order = new OrderedSet<QueueEntry>(compareEntries);
  /** The entry to evict first. */
  readonly evictions = new IndexedHeap<QueueEntry>(compareEvictions);
  readonly bySize = new IndexedHeap<QueueEntry>(compareSizes);
  readonly byGroup = new Map<string, IndexedHeap<QueueEntry>>();
  readonly shares = new ServedShares();
  private readonly sizes: number[] = [];
  private sizeCount = 0;
  private longSize = Infinity;

  groupsOf({ tenant, size }: QueueCandidate): readonly string[] {
    this.recordSize(size);
    const tenantGroup = `tenant:${tenant ?? ''}`;
    return size >= this.longSize ? [tenantGroup, LONG_GROUP] : [tenantGroup];
  }

  add(entry: QueueEntry): void {
    this.order.add(entry);
    this.evictions.add(entry);
    this.bySize.add(entry);
    for (const group of entry.groups) this.heapOf(group).add(entry);
  }

  remove(entry: QueueEntry): boolean {
    if (!this.order.remove(entry)) return false;
    this.evictions.remove(entry);
    this.bySize.remove(entry);
    for (const group of entry.groups) {
      const heap = this.heapOf(group);
      heap.remove(entry);
      if (heap.size === 0) this.byGroup.delete(group);
    }
    return true;
  }

  private heapOf(group: string): IndexedHeap<QueueEntry> {
    let heap = this.byGroup.get(group);
    if (!heap) {
      heap = new IndexedHeap<QueueEntry>(compareEntries);
      this.byGroup.set(group, heap);
    }
    return heap;
  }

  private recordSize(size: number): void {
    this.sizes[this.sizeCount % SIZE_WINDOW] = size;
    this.sizeCount += 1;
    if (this.sizeCount % SIZE_PERIOD !== 0) return;
    const sorted = [...this.sizes].sort((left, right) => right - left);
    const longCount = Math.max(1, Math.floor(sorted.length * LONG_PART));
    this.longSize = sorted[longCount - 1] ?? Infinity;
  }
}

/** The waiting requests of one service. Entering, leaving and choosing take O(log n). */
export class RequestQueue {
  /** By priority. */
  private readonly levels: QueueLevel[] = [];
  private sequence = 0;
  private entryCount = 0;
  private byteCount = 0;

  constructor(private readonly bounds: QueueBounds) {}

  get size(): number {
    return this.entryCount;
  }

  /** Bytes that the waiting requests occupy. */
  get bytes(): number {
    return this.byteCount;
  }

  /**
   * Adds a request. If the queue is full, less urgent ones and those of tenants over their share
   * make room; the request is not added if it would itself be evicted first.
   */
  enter(candidate: QueueCandidate): EnterResult {
    const level = this.levelOf(candidate);
    this.sequence += 1;
    const entry: QueueEntry = {
      candidate,
      isLate: false,
      sequence: this.sequence,
      groups: level.groupsOf(candidate),
    };
    const evicted = this.makeRoom(entry);
    if (!evicted) return { kind: 'full' };
    for (const each of evicted) this.leave(each, false);
    level.shares.noteTotalOffered();
    for (const group of entry.groups) level.shares.noteOffered(group, minimumShareOf(group));
    this.insert(entry);
    return { kind: 'entered', entry, evicted };
  }

  /** Removes a request; returns false if it is not in the queue. */
  leave(entry: QueueEntry, isServed: boolean): boolean {
    if (!this.extract(entry)) return false;
    const level = this.levelOf(entry.candidate);
    const { shares } = level;
    for (const group of entry.groups) shares.noteLeft(group, isServed);
    if (isServed) shares.noteTotalServed();
    return true;
  }

  /**
   * Takes out the requests that may be sent next, until one of them is sent or no more are tried.
   * Those that were tried without success stay in the queue. The last try goes to the smallest request, so
   * that large ones ahead of it do not leave the capacity idle.
   *
   * @param trySend sends the request if an engine has capacity for it; the entry may be left already
   * @returns whether a request left the queue
   */
  sendNext(trySend: (entry: QueueEntry) => boolean, maximumTries: number): boolean {
    const skipped: QueueEntry[] = [];
    let isSent = false;
    while (!isSent && skipped.length < maximumTries) {
      const isLastTry = skipped.length > 0 && skipped.length === maximumTries - 1;
      const entry = isLastTry ? this.smallest : this.next;
      if (!entry) break;
      isSent = trySend(entry);
      if (isSent) this.leave(entry, true);
      else if (this.extract(entry)) skipped.push(entry);
    }
    for (const entry of skipped) this.insert(entry);
    return isSent;
  }

  /** The request to send next. */
  get next(): QueueEntry | undefined {
    const level = this.levels.find(({ order }) => order.size > 0);
    if (!level) return undefined;
    const group = level.shares.neglected;
    const neglected = group === undefined ? undefined : level.byGroup.get(group)?.first;
    return neglected ?? level.order.first;
  }

  /** Changes what the order of a request depends on; returns the entry that replaces it. */
  reorder(entry: QueueEntry, change: { isLate: boolean; useOfShare: number }): QueueEntry {
    if (!this.extract(entry)) return entry;
    const { isLate, useOfShare } = change;
    const reordered = { ...entry, isLate, candidate: { ...entry.candidate, useOfShare } };
    this.insert(reordered);
    return reordered;
  }

  /** Number of waiting requests that the order puts before a waiting one. */
  countBefore(entry: QueueEntry): number {
    const rank = rankOf(entry.candidate.priority);
    const moreUrgent = this.levels.slice(0, rank);
    const sum = moreUrgent.reduce((total, level) => total + level.order.size, 0);
    return sum + (this.levels[rank]?.order.countBefore(entry) ?? 0);
  }

  /** Number of waiting requests that the order would put before a new one. */
  countBeforeNew(candidate: QueueCandidate): number {
    return this.countBefore({ candidate, isLate: false, sequence: Infinity, groups: [] });
  }

  /** The entries that must leave for this one; undefined if it would itself be evicted first. */
  private makeRoom(entry: QueueEntry): QueueEntry[] | undefined {
    const evicted: QueueEntry[] = [];
    const { maximumRequests, maximumBytes } = this.bounds;
    let requests = this.entryCount + 1;
    let bytes = this.byteCount + entry.candidate.bytes;
    while (requests > maximumRequests || bytes > maximumBytes) {
      const worst = this.worst;
      if (!worst || !isEvictedBefore(worst, entry)) break;
      this.extract(worst);
      evicted.push(worst);
      requests -= 1;
      bytes -= worst.candidate.bytes;
    }
    for (const each of evicted) this.insert(each);
    return requests > maximumRequests || bytes > maximumBytes ? undefined : evicted;
  }

  private get smallest(): QueueEntry | undefined {
    const candidates = this.levels.flatMap(({ bySize }) => bySize.first ?? []);
    return candidates.sort((left, right) => left.candidate.size - right.candidate.size)[0];
  }

  private get worst(): QueueEntry | undefined {
    return this.levels.findLast(({ order }) => order.size > 0)?.evictions.first;
  }

  private insert(entry: QueueEntry): void {
    this.levelOf(entry.candidate).add(entry);
    this.entryCount += 1;
    this.byteCount += entry.candidate.bytes;
  }

  private extract(entry: QueueEntry): boolean {
    if (!this.levelOf(entry.candidate).remove(entry)) return false;
    this.entryCount -= 1;
    this.byteCount -= entry.candidate.bytes;
    return true;
  }

  private levelOf({ priority }: QueueCandidate): QueueLevel {
    const rank = rankOf(priority);
    while (this.levels.length <= rank) this.levels.push(new QueueLevel());
    return this.levels[rank] as QueueLevel;
  }
}

/** Order of two requests of the same urgency. */
export function compareEntries(left: QueueEntry, right: QueueEntry): number {
  const [leftRequest, rightRequest] = [left.candidate, right.candidate];
  return (
    Number(left.isLate) - Number(right.isLate) ||
    Number(rightRequest.isReturning) - Number(leftRequest.isReturning) ||
    slackStepOf(leftRequest) - slackStepOf(rightRequest) ||
    leftRequest.useOfShare - rightRequest.useOfShare ||
    leftRequest.latestSendMs - rightRequest.latestSendMs ||
    left.sequence - right.sequence
  );
}

function compareSizes(left: QueueEntry, right: QueueEntry): number {
  return left.candidate.size - right.candidate.size || compareEntries(left, right);
}

/** Tenants over their share are evicted first, then the last in the order. */
function compareEvictions(left: QueueEntry, right: QueueEntry): number {
  return overuseOf(right) - overuseOf(left) || compareEntries(right, left);
}

function isEvictedBefore(left: QueueEntry, right: QueueEntry): boolean {
  const ranks = rankOf(right.candidate.priority) - rankOf(left.candidate.priority);
  return (ranks || compareEvictions(left, right)) < 0;
}

function overuseOf({ candidate }: QueueEntry): number {
  return Math.max(1, candidate.useOfShare);
}

function slackStepOf({ latestSendMs }: QueueCandidate): number {
  return Math.floor(latestSendMs / SLACK_STEP_MS);
}

function rankOf(priority: number): number {
  return Math.min(LOWEST_PRIORITY, Math.max(0, Math.round(priority)));
}

function minimumShareOf(group: string): number {
  return group === LONG_GROUP ? MINIMUM_LONG_SHARE : MINIMUM_TENANT_SHARE;
}
