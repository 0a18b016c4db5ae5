/** The fake engine's cache of prompt blocks: fixed capacity, LRU eviction of leaf blocks. */

/** A cached block, with the data that reuse and audits need. */
export interface CachedBlock {
  readonly hash: bigint;
  readonly parent: bigint | undefined;
  readonly weightsDigest: string;
  /** Identifier of the request that computed the block. */
  readonly createdBy: string;
  /** Number of cached child blocks; only a block without children can be evicted. */
  children: number;
  /** Number of running sequences that use the block. */
  users: number;
  /** The block isn't evicted before this time. */
  pinnedUntilMs: number;
}

/** Receives the changes of the cache. */
export interface BlockCacheObserver {
  onStored(block: CachedBlock): void;
  onRemoved(block: CachedBlock): void;
}

/** Cached blocks by hash, ordered from least to most recently used. */
export class BlockCache {
  private readonly blocks = new Map<bigint, CachedBlock>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly observer: BlockCacheObserver,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Returns all cached blocks, parents before children. */
  parentsFirst(): CachedBlock[] {
    const ordered: CachedBlock[] = [];
    const visited = new Set<bigint>();
    const place = (block: CachedBlock): void => {
      const path: CachedBlock[] = [];
      let current: CachedBlock | undefined = block;
      while (current && !visited.has(current.hash)) {
        path.push(current);
        current = current.parent === undefined ? undefined : this.blocks.get(current.parent);
      }
      for (const entry of path.reverse()) {
        visited.add(entry.hash);
        ordered.push(entry);
      }
    };
    for (const block of this.blocks.values()) place(block);
    return ordered;
  }

  get(hash: bigint): CachedBlock | undefined {
    return this.blocks.get(hash);
  }

  /** Returns the leading blocks of a chain that are cached, and marks them as used. */
  match(chain: readonly bigint[]): CachedBlock[] {
    const cached: CachedBlock[] = [];
    for (const hash of chain) {
      const block = this.blocks.get(hash);
      if (!block) break;
      cached.push(block);
    }
    // Touches the leaf first and the root last, so that leaves are evicted before their root.
    for (const block of [...cached].reverse()) this.touch(block);
    return cached;
  }

  /** Stores a block, evicting another one if the cache is full; returns whether it is cached. */
  store(
    hash: bigint,
    parent: bigint | undefined,
    weightsDigest: string,
    createdBy: string,
    nowMs: number,
  ): boolean {
    const existing = this.blocks.get(hash);
    if (existing) {
      this.touch(existing);
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
      pinnedUntilMs: 0,
    };
    this.blocks.set(hash, block);
    this.observer.onStored(block);
    return true;
  }

  /** Removes a block and its descendants, except blocks in use. */
  drop(hash: bigint): void {
    const block = this.blocks.get(hash);
    if (!block) return;
    for (const other of [...this.blocks.values()]) {
      if (other.parent === hash) this.drop(other.hash);
    }
    if (block.users === 0) this.remove(block);
  }

  /** Removes all blocks without notifying the observer, as a crash does. */
  clear(): void {
    this.blocks.clear();
  }

  private touch(block: CachedBlock): void {
    this.blocks.delete(block.hash);
    this.blocks.set(block.hash, block);
  }

  private evictOne(except: bigint | undefined, nowMs: number): boolean {
    for (const block of this.blocks.values()) {
      const needed = block.children > 0 || block.users > 0 || block.pinnedUntilMs > nowMs;
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
