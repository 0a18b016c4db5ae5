/** Exchanges the prefix reads of simulated routers through one collector. */
import type { RandomSource } from '../../src/runtime/random.js';
import type { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { memberKey } from '../../src/state/member-key.js';
import type { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import type { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { type EngineMemory, GroupPrefixes } from '../../src/state/routing/group-prefixes.js';

const EXCHANGE_PERIOD_MS = 200;
const READS_PER_DATAGRAM = 40;

/** The first router added is the collector. */
export class PrefixReadNetwork {
  /** Entries of all summaries. */
  summaryReads = 0;
  private readonly routers: GroupPrefixes[] = [];
  private readonly idsByKey = new Map<number, string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly registry: EngineRegistry,
    private readonly memory: EngineMemory,
    private readonly lostShare: number,
  ) {}

  addRouter(cachedPrefixes: CachedPrefixes): GroupPrefixes {
    for (const id of this.registry.ids) this.idsByKey.set(memberKey(id), id);
    cachedPrefixes.learnsFromReads = true;
    const prefixes = new GroupPrefixes(cachedPrefixes, {
      idsByKey: () => this.idsByKey,
      memoryOf: () => this.memory,
    });
    this.routers.push(prefixes);
    return prefixes;
  }

  schedule(untilMs: number): void {
    if (this.clock.now() > untilMs) return;
    this.clock.setTimer(EXCHANGE_PERIOD_MS, () => {
      this.exchange();
      this.schedule(untilMs);
    });
  }

  /** One round: reports to the collector, then its summary to all others. */
  private exchange(): void {
    const [collector, ...others] = this.routers;
    if (!collector) return;
    const now = this.clock.now();
    for (const router of this.routers) {
      router.expire(now);
      const own = router.takeOwn(READS_PER_DATAGRAM, now);
      if (router !== collector && this.isLost()) continue;
      if (router !== collector) collector.receive(own, now);
      collector.collect(own, now);
      collector.countReads(own, now);
    }
    const summary = collector.takeSummary(READS_PER_DATAGRAM, now);
    this.summaryReads += summary.length;
    for (const router of others) {
      if (this.isLost()) continue;
      this.clock.setTimer(EXCHANGE_PERIOD_MS / 2, () => {
        router.receive(summary, this.clock.now());
        router.countReads(summary, this.clock.now());
      });
    }
  }

  private isLost(): boolean {
    return this.lostShare > 0 && this.random.next() < this.lostShare;
  }
}
