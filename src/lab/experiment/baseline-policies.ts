/** The policies that peatspan is compared with, and the bound of perfect knowledge. */
import type { Hasher } from '../../runtime/hasher.js';
import { type RandomSource, randomElement } from '../../runtime/random.js';
import type { EngineLoadReport } from '../../protocol/engine/port.js';
import { BLOCK_TOKENS, tokensOfBytes } from '../../state/prefix-chain.js';
import { pickByRendezvous } from '../../state/rendezvous.js';
import type { EngineCore } from '../engine/engine-core.js';
import type { PlacedRequest } from './placed-request.js';
import type { Policy } from './policy.js';

const MS_PER_SECOND = 1_000;

abstract class Baseline implements Policy {
  abstract readonly name: string;
  abstract choose(
    request: PlacedRequest,
    engines: readonly EngineCore[],
    nowMs: number,
  ): EngineCore;
  onStart(): void {}
  refresh(): void {}
}

/** Any engine. */
export class RandomPolicy extends Baseline {
  readonly name = 'random';

  constructor(private readonly random: RandomSource) {
    super();
  }

  choose(_request: PlacedRequest, engines: readonly EngineCore[]): EngineCore {
    return randomElement(this.random, engines) as EngineCore;
  }
}

/** The engine whose last report shows the fewest requests; ties at random. */
export class LeastLoadedPolicy extends Baseline {
  readonly name = 'least loaded';

  constructor(private readonly random: RandomSource) {
    super();
  }

  choose(_request: PlacedRequest, engines: readonly EngineCore[]): EngineCore {
    const loads = engines.map((core) => core.status().load.requests);
    const least = Math.min(...loads);
    const tied = engines.filter((_, index) => loads[index] === least);
    return randomElement(this.random, tied) as EngineCore;
  }
}

/** Consistent hashing on the first mark of the prompt. */
export class PrefixHashPolicy extends Baseline {
  readonly name = 'prefix hashing';

  constructor(private readonly hasher: Hasher) {
    super();
  }

  choose(request: PlacedRequest, engines: readonly EngineCore[]): EngineCore {
    const ids = engines.map((core) => core.settings.engineId);
    const chosen = pickByRendezvous(this.hasher, request.marks[0] ?? 0n, ids);
    return engines[ids.indexOf(chosen ?? '')] as EngineCore;
  }
}

/** Knows each cache and queue at the moment; a bound, since no node can. */
export class PerfectKnowledgePolicy extends Baseline {
  readonly name = 'perfect knowledge';

  constructor(private readonly recomputeWeight: number) {
    super();
  }

  choose(request: PlacedRequest, engines: readonly EngineCore[]): EngineCore {
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

  private cost(request: PlacedRequest, core: EngineCore): number {
    const kept = core.countCachedBlocks(request.blocks) * BLOCK_TOKENS;
    const tokens = tokensOfBytes(request.prompt.length) - kept;
    const load = core.currentLoad();
    const RECOMPUTE_EMPHASIS = 3;
    const emphasis = 1 + RECOMPUTE_EMPHASIS * this.recomputeWeight;
    return waitMsOf(load) + (tokens / load.prefillTokensPerSecond) * MS_PER_SECOND * emphasis;
  }
}

function waitMsOf(load: EngineLoadReport): number {
  const QUEUED_REQUEST_MS = 60;
  const overflow = Math.max(0, load.requests - load.maximumRequests);
  return (
    (load.waitingTokens / load.prefillTokensPerSecond) * MS_PER_SECOND +
    overflow * QUEUED_REQUEST_MS
  );
}
