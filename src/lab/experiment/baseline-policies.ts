/** Baseline policies for comparison with peatspan, and an upper bound with perfect knowledge. */
import type { Hasher } from '../../runtime/hasher.js';
import { type RandomSource, randomElement } from '../../runtime/random.js';
import type { EngineLoadReport } from '../../protocol/engine/port.js';
import { BLOCK_TOKENS, tokensOfBytes } from '../../state/prefix-chain.js';
import { pickByRendezvous } from '../../state/rendezvous.js';
import type { EngineCore } from '../engine/engine-core.js';
import type { HashedRequest } from './hashed-request.js';
import type { Policy } from './policy.js';

const MS_PER_SECOND = 1_000;

abstract class Baseline implements Policy {
  abstract readonly name: string;
  abstract choose(
    request: HashedRequest,
    engines: readonly EngineCore[],
    nowMs: number,
  ): EngineCore;
  onStart(): void {}
  refresh(): void {}
}

/** Picks a random engine. */
export class RandomPolicy extends Baseline {
  readonly name = 'random';

  constructor(private readonly random: RandomSource) {
    super();
  }

  choose(_request: HashedRequest, engines: readonly EngineCore[]): EngineCore {
    return randomElement(this.random, engines) as EngineCore;
  }
}

/** Picks the engine whose last report has the fewest requests; breaks ties at random. */
export class LeastLoadedPolicy extends Baseline {
  readonly name = 'least loaded';

  constructor(private readonly random: RandomSource) {
    super();
  }

  choose(_request: HashedRequest, engines: readonly EngineCore[]): EngineCore {
    const loads = engines.map((core) => core.status().load.requests);
    const least = Math.min(...loads);
    const tied = engines.filter((_, index) => loads[index] === least);
    return randomElement(this.random, tied) as EngineCore;
  }
}

/** Picks an engine by rendezvous hashing of the first mark of the prompt. */
export class PrefixHashPolicy extends Baseline {
  readonly name = 'prefix hashing';

  constructor(private readonly hasher: Hasher) {
    super();
  }

  choose(request: HashedRequest, engines: readonly EngineCore[]): EngineCore {
    const ids = engines.map((core) => core.settings.engineId);
    const chosen = pickByRendezvous(this.hasher, request.marks[0] ?? 0n, ids);
    return engines[ids.indexOf(chosen ?? '')] as EngineCore;
  }
}

/** Reads the current cache and queue of every engine, which no router can; an upper bound. */
export class PerfectKnowledgePolicy extends Baseline {
  readonly name = 'perfect knowledge';

  constructor(private readonly recomputeWeight: number) {
    super();
  }

  choose(request: HashedRequest, engines: readonly EngineCore[]): EngineCore {
    let best = engines[0] as EngineCore;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const core of engines) {
      const cost = this.cost(request, core);
      if (cost < bestCost) {
        best = core;
        bestCost = cost;
      }
    }
    return best;
  }

  private cost(request: HashedRequest, core: EngineCore): number {
    const cachedTokens = core.countCachedBlocks(request.blocks) * BLOCK_TOKENS;
    const tokens = tokensOfBytes(request.prompt.length) - cachedTokens;
    const load = core.currentLoad();
    const RECOMPUTE_FACTOR = 3;
    const factor = 1 + RECOMPUTE_FACTOR * this.recomputeWeight;
    return estimateQueueMs(load) + (tokens / load.prefillTokensPerSecond) * MS_PER_SECOND * factor;
  }
}

function estimateQueueMs(load: EngineLoadReport): number {
  const WAIT_PER_QUEUED_REQUEST_MS = 60;
  const queuedRequests = Math.max(0, load.requests - load.maximumRequests);
  return (
    (load.waitingTokens / load.prefillTokensPerSecond) * MS_PER_SECOND +
    queuedRequests * WAIT_PER_QUEUED_REQUEST_MS
  );
}
