/**
 * Folds one engine's cache events (a block stored, a block removed) into changes of marks.
 *
 * The owner of a feed runs one of these an engine. Only marks leave it, each with its root, so that
 * what nodes tell each other is a sixteenth of what the engine tells its owner.
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

interface KnownBlock {
  /** Blocks before it. */
  readonly depth: number;
  /** The first mark of its chain; undefined before that mark. */
  readonly root: bigint | undefined;
}

/** The kept blocks of one engine incarnation, as far as its events told. */
export class EventFeed {
  private readonly blocks = new Map<bigint, KnownBlock>();

  /** Blocks believed kept. */
  get size(): number {
    return this.blocks.size;
  }

  /** Applies an event; answers the change of a mark where there is one. */
  apply(event: CacheEvent): MarkChange | undefined {
    return event.kind === 'stored' ? this.store(event) : this.remove(event.block);
  }

  /** All marks kept, for a home that has just taken over. */
  *marks(): Generator<MarkChange> {
    for (const [hash, block] of this.blocks) {
      if (isMark(block) && block.root !== undefined) {
        yield { root: block.root, mark: hash, present: true };
      }
    }
  }

  private store(event: CacheEvent): MarkChange | undefined {
    const parent = event.parent === undefined ? undefined : this.blocks.get(event.parent);
    // A block whose parent was lost in a gap has no known depth; the next snapshot brings it.
    if (event.parent !== undefined && !parent) return undefined;
    const depth = parent ? parent.depth + 1 : 0;
    const isRoot = depth === MARK_BLOCKS - 1;
    const block: KnownBlock = { depth, root: isRoot ? event.block : parent?.root };
    this.blocks.set(event.block, block);
    if (!isMark(block) || block.root === undefined) return undefined;
    return { root: block.root, mark: event.block, present: true };
  }

  private remove(hash: bigint): MarkChange | undefined {
    const block = this.blocks.get(hash);
    if (!block) return undefined;
    this.blocks.delete(hash);
    if (!isMark(block) || block.root === undefined) return undefined;
    return { root: block.root, mark: hash, present: false };
  }
}

function isMark(block: KnownBlock): boolean {
  return block.depth % MARK_BLOCKS === MARK_BLOCKS - 1;
}
