/**
 * Folds one engine's cache events (a block stored, a block removed) into changes of marks.
 *
 * The owner of a feed runs one of these an engine. Only marks leave it, each with its root, so that
 * what nodes tell each other is a sixteenth of what the engine tells its owner. Each block's place is
 * one small integer, which keeps a believed block under 100 bytes.
 */
import { MARK_BLOCKS } from './prefix-chain.js';

/** One entry of an engine's event stream. */
export interface CacheEvent {
  readonly kind: 'stored' | 'removed';
  readonly block: bigint;
  /** Hash before it in the chain; undefined for the first block of a chain. */
  readonly parent: bigint | undefined;
}

/** A mark that an engine began or ceased to keep. */
export interface MarkChange {
  readonly root: bigint;
  readonly mark: bigint;
  readonly present: boolean;
}

/** Blocks before a block take the low bits of its place, the number of its root the high ones. */
const DEPTH_RANGE = 4_096;
/** Blocks deeper than this are not followed: 65,000 tokens. */
const DEEPEST = DEPTH_RANGE - 1;
/** Root number of blocks before the first mark. */
const NO_ROOT = 0;

/** The kept blocks of one engine incarnation, as far as its events told. */
export class EventFeed {
  /** Place of each block: root number times DEPTH_RANGE plus depth. */
  private readonly places = new Map<bigint, number>();
  private readonly roots: (bigint | undefined)[] = [undefined];
  private readonly freeRoots: number[] = [];

  /** Blocks believed kept. */
  get size(): number {
    return this.places.size;
  }

  /** Applies an event; answers the change of a mark where there is one. */
  apply(event: CacheEvent): MarkChange | undefined {
    return event.kind === 'stored' ? this.store(event) : this.remove(event.block);
  }

  /** Takes a snapshot's blocks, parents first, for all that is kept; answers what differs. */
  replaceBy(blocks: Iterable<CacheEvent>): MarkChange[] {
    const lost = new Map([...this.marks()].map((change) => [change.mark, change]));
    this.places.clear();
    this.roots.length = 1;
    this.freeRoots.length = 0;
    const changes: MarkChange[] = [];
    for (const block of blocks) {
      const change = this.apply(block);
      if (change && !lost.delete(change.mark)) changes.push(change);
    }
    for (const change of lost.values()) changes.push({ ...change, present: false });
    return changes;
  }

  /** All marks kept, for a home that has just taken over. */
  *marks(): Generator<MarkChange> {
    for (const [mark, place] of this.places) {
      const change = this.changeOf(mark, place, true);
      if (change) yield change;
    }
  }

  private store(event: CacheEvent): MarkChange | undefined {
    const place = this.placeAfter(event);
    if (place === undefined) return undefined;
    this.places.set(event.block, place);
    return this.changeOf(event.block, place, true);
  }

  /** A block whose parent was lost in a gap has no known place; the next snapshot brings it. */
  private placeAfter(event: CacheEvent): number | undefined {
    if (event.parent === undefined) return 0;
    const parent = this.places.get(event.parent);
    if (parent === undefined || depthOf(parent) >= DEEPEST) return undefined;
    const depth = depthOf(parent) + 1;
    const present = this.places.get(event.block);
    if (depth !== MARK_BLOCKS - 1) return parent + 1;
    return present ?? this.claimRoot(event.block) * DEPTH_RANGE + depth;
  }

  private remove(block: bigint): MarkChange | undefined {
    const place = this.places.get(block);
    if (place === undefined) return undefined;
    this.places.delete(block);
    const change = this.changeOf(block, place, false);
    if (change?.root === block) this.releaseRoot(rootOf(place));
    return change;
  }

  private changeOf(mark: bigint, place: number, present: boolean): MarkChange | undefined {
    if (depthOf(place) % MARK_BLOCKS !== MARK_BLOCKS - 1) return undefined;
    const root = this.roots[rootOf(place)];
    return root === undefined ? undefined : { root, mark, present };
  }

  private claimRoot(root: bigint): number {
    const number = this.freeRoots.pop() ?? this.roots.length;
    this.roots[number] = root;
    return number;
  }

  /** Blocks below a removed root went before it, but for those whose removal a gap hid. */
  private releaseRoot(number: number): void {
    if (number === NO_ROOT) return;
    this.roots[number] = undefined;
    this.freeRoots.push(number);
  }
}

function depthOf(place: number): number {
  return place % DEPTH_RANGE;
}

function rootOf(place: number): number {
  return Math.floor(place / DEPTH_RANGE);
}
