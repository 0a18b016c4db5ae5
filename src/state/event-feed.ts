/**
 * Converts the cache events of one engine (block stored, block removed) to changes of marks.
 *
 * The owner of a feed has one instance for each engine. It announces only marks, each with its
 * root, which are a sixteenth of the blocks. The position of a block is stored as one integer to
 * save memory.
 */
import { MARK_BLOCKS } from './prefix-chain.js';

/** One entry of an engine's event stream. */
export interface CacheEvent {
  readonly kind: 'stored' | 'removed';
  readonly block: bigint;
  /** Preceding hash in the chain; undefined for the first block. */
  readonly parent: bigint | undefined;
}

/** A mark that was added to or removed from an engine's cache. */
export interface MarkChange {
  readonly root: bigint;
  readonly mark: bigint;
  readonly present: boolean;
}

/** Factor of the root number in a position; the remainder is the block's depth in its chain. */
const DEPTH_RANGE = 4_096;
/** Blocks at a greater depth are ignored. */
const MAXIMUM_DEPTH = DEPTH_RANGE - 1;
/** Root number of blocks before the first mark of a chain. */
const NO_ROOT = 0;

/** Cached blocks of one engine incarnation, according to its events. */
export class EventFeed {
  /** Position of each block: its root number times DEPTH_RANGE plus its depth. */
  private readonly positions = new Map<bigint, number>();
  private readonly roots: (bigint | undefined)[] = [undefined];
  private readonly freeRoots: number[] = [];

  /** Number of cached blocks. */
  get size(): number {
    return this.positions.size;
  }

  /** Applies an event; returns the resulting change of a mark, if any. */
  apply(event: CacheEvent): MarkChange | undefined {
    return event.kind === 'stored' ? this.store(event) : this.remove(event.block);
  }

  /** Replaces all blocks by those of a snapshot, parents first; returns the changed marks. */
  replaceBy(blocks: Iterable<CacheEvent>): MarkChange[] {
    const removedMarks = new Map([...this.marks()].map((change) => [change.mark, change]));
    this.positions.clear();
    this.roots.length = 1;
    this.freeRoots.length = 0;
    const changes: MarkChange[] = [];
    for (const block of blocks) {
      const change = this.apply(block);
      if (change && !removedMarks.delete(change.mark)) changes.push(change);
    }
    for (const change of removedMarks.values()) changes.push({ ...change, present: false });
    return changes;
  }

  /** All cached marks, for a router that has just become their home. */
  *marks(): Generator<MarkChange> {
    for (const [mark, position] of this.positions) {
      const change = this.changeOf(mark, position, true);
      if (change) yield change;
    }
  }

  private store(event: CacheEvent): MarkChange | undefined {
    const position = this.positionAfter(event);
    if (position === undefined) return undefined;
    this.positions.set(event.block, position);
    return this.changeOf(event.block, position, true);
  }

  /** Undefined if the parent is unknown because of a gap; the next snapshot includes the block. */
  private positionAfter(event: CacheEvent): number | undefined {
    if (event.parent === undefined) return 0;
    const parent = this.positions.get(event.parent);
    if (parent === undefined || depthOf(parent) >= MAXIMUM_DEPTH) return undefined;
    const depth = depthOf(parent) + 1;
    const present = this.positions.get(event.block);
    if (depth !== MARK_BLOCKS - 1) return parent + 1;
    return present ?? this.allocateRoot(event.block) * DEPTH_RANGE + depth;
  }

  private remove(block: bigint): MarkChange | undefined {
    const position = this.positions.get(block);
    if (position === undefined) return undefined;
    this.positions.delete(block);
    const change = this.changeOf(block, position, false);
    if (change?.root === block) this.releaseRoot(rootOf(position));
    return change;
  }

  private changeOf(mark: bigint, position: number, present: boolean): MarkChange | undefined {
    if (depthOf(position) % MARK_BLOCKS !== MARK_BLOCKS - 1) return undefined;
    const root = this.roots[rootOf(position)];
    return root === undefined ? undefined : { root, mark, present };
  }

  private allocateRoot(root: bigint): number {
    const number = this.freeRoots.pop() ?? this.roots.length;
    this.roots[number] = root;
    return number;
  }

  /** Blocks after a root are removed before it, except for removals removedMarks in a gap. */
  private releaseRoot(number: number): void {
    if (number === NO_ROOT) return;
    this.roots[number] = undefined;
    this.freeRoots.push(number);
  }
}

function depthOf(position: number): number {
  return position % DEPTH_RANGE;
}

function rootOf(position: number): number {
  return Math.floor(position / DEPTH_RANGE);
}
