/** The stand-in's cache of prompt blocks: limited, least recently used out first, leaves first. */

/** What the cache remembers of a block, for use and for audits. */
export interface CachedBlock {
  readonly hash: bigint;
  readonly parent: bigint | undefined;
  readonly weightsDigest: string;
  /** Request that computed it. */
  readonly createdBy: string;
  /** Blocks that follow it; only a block without any may be evicted. */
  children: number;
  /** Running sequences that use it. */
  users: number;
  /** Kept until this moment whatever else wants room. */
  heldUntilMs: number;
}

/** Receives changes of the cache. */
export interface BlockCacheObserver {
  onStored(block: CachedBlock): void;
  onRemoved(block: CachedBlock): void;
}

/** Blocks by hash, in order of last use. */
export class BlockCache {
  private readonly blocks = new Map<bigint, CachedBlock>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly observer: BlockCacheObserver,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Blocks kept, parents before children. */
  parentsFirst(): CachedBlock[] {
    const ordered: CachedBlock[] = [];
    const placed = new Set<bigint>();
    const place = (block: CachedBlock): void => {
      const path: CachedBlock[] = [];
      let current: CachedBlock | undefined = block;
      while (current && !placed.has(current.hash)) {
        path.push(current);
        current = current.parent === undefined ? undefined : this.blocks.get(current.parent);
      }
      for (const entry of path.reverse()) {
        placed.add(entry.hash);
        ordered.push(entry);
      }
    };
    for (const block of this.blocks.values()) place(block);
    return ordered;
  }

  get(hash: bigint): CachedBlock | undefined {
    return this.blocks.get(hash);
  }

  /** The leading blocks of a chain that are kept; marks them used. */
  match(chain: readonly bigint[]): CachedBlock[] {
    const kept: CachedBlock[] = [];
    for (const hash of chain) {
      const block = this.blocks.get(hash);
      if (!block) break;
      kept.push(block);
    }
    // Touch from the leaf to the root, so that a root outlives its leaves.
    for (const block of [...kept].reverse()) this.touch(block);
    return kept;
  }

  /** Stores a block where there is room or room can be made; answers whether it is kept. */
  store(
    hash: bigint,
    parent: bigint | undefined,
    weightsDigest: string,
    createdBy: string,
    nowMs: number,
  ): boolean {
    const present = this.blocks.get(hash);
    if (present) {
      this.touch(present);
      return true;
    }
    const parentBlock = parent === undefined ? undefined : this.blocks.get(parent);
    if (parent !== undefined && !parentBlock) return false;
    if (this.blocks.size >= this.capacityBlocks && !this.evictOne(parent, nowMs)) return false;
    if (parentBlock) parentBlock.children += 1;
    const block: CachedBlock = {
      hash,
      parent,
      weightsDigest,
      createdBy,
      children: 0,
      users: 0,
      heldUntilMs: 0,
    };
    this.blocks.set(hash, block);
    this.observer.onStored(block);
    return true;
  }

  /** Removes a block and all that follow it. */
  drop(hash: bigint): void {
    const block = this.blocks.get(hash);
    if (!block) return;
    for (const other of [...this.blocks.values()]) {
      if (other.parent === hash) this.drop(other.hash);
    }
    if (block.users === 0) this.remove(block);
  }

  /** Forgets everything without a word, as a crash does. */
  clear(): void {
    this.blocks.clear();
  }

  private touch(block: CachedBlock): void {
    this.blocks.delete(block.hash);
    this.blocks.set(block.hash, block);
  }

  private evictOne(except: bigint | undefined, nowMs: number): boolean {
    for (const block of this.blocks.values()) {
      const needed = block.children > 0 || block.users > 0 || block.heldUntilMs > nowMs;
      if (needed || block.hash === except) continue;
      this.remove(block);
      return true;
    }
    return false;
  }

  private remove(block: CachedBlock): void {
    this.blocks.delete(block.hash);
    const parent = block.parent === undefined ? undefined : this.blocks.get(block.parent);
    if (parent) parent.children -= 1;
    this.observer.onRemoved(block);
  }
}
