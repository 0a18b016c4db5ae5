/** Selects engines by the tenant's parameters, the prefix directory and the engine table. */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import { type Candidate, type ChoiceRequest, chooseEngine } from '../../state/engine-choice.js';
import type { EngineTable } from '../../state/engine-table.js';
import { tokensOfBytes } from '../../state/prefix-chain.js';
import type { PrefixDirectory } from '../../state/prefix-directory.js';
import { SiteShares } from '../../state/site-shares.js';
import type { ModelVersion, TenantParameters } from '../../state/template-set.js';

/** Input of the engine selection for a generation. */
export interface Placement {
  readonly tenant: string;
  readonly parameters: TenantParameters;
  readonly model: string;
  readonly version: ModelVersion;
  readonly marks: readonly bigint[];
  readonly promptBytes: number;
  readonly excluded: ReadonlySet<string>;
}

/** Selects engines for the requests of one router. */
export class EngineSelector {
  private readonly shares = new Map<string, SiteShares>();

  constructor(
    private readonly zone: string,
    private readonly engines: EngineTable,
    private readonly directory: PrefixDirectory,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Returns the engine for the request, or undefined if none is available. */
  choose(placement: Placement): Candidate | undefined {
    const nowMs = this.clock.now();
    const { parameters } = placement;
    const positiveShares = Object.entries(parameters.site_shares).filter(([, share]) => share > 0);
    const preferredSites = this.sharesOf(placement.tenant).openSites(parameters.site_shares, nowMs);
    // If no open site has a usable engine, fall back to all sites with a positive share.
    const chosen =
      this.chooseAt(placement, preferredSites, nowMs) ??
      this.chooseAt(placement, new Set(positiveShares.map(([site]) => site)), nowMs);
    if (chosen) this.recordDispatch(placement, chosen, nowMs);
    return chosen;
  }

  /** Each site's share of the tenant's recent requests. */
  recentShares(tenant: string): Map<string, number> {
    return this.sharesOf(tenant).achievedShares(this.clock.now());
  }

  private chooseAt(
    placement: Placement,
    sites: ReadonlySet<string>,
    nowMs: number,
  ): Candidate | undefined {
    const request: ChoiceRequest = {
      served: {
        model: placement.model,
        weightsDigest: placement.version.weights_digest,
        adapterDigest: placement.version.adapter_digest,
      },
      promptTokens: tokensOfBytes(placement.promptBytes),
      sites,
      zone: this.zone,
      recomputeWeight: placement.parameters.recompute_weight,
      excluded: placement.excluded,
    };
    const depths = this.directory.depths(placement.marks, nowMs);
    return chooseEngine(this.engines, depths, request, this.random, nowMs)?.chosen;
  }

  private recordDispatch(placement: Placement, chosen: Candidate, nowMs: number): void {
    const { machine, breaker } = chosen.record;
    breaker.onSent(nowMs);
    const promptTokens = tokensOfBytes(placement.promptBytes);
    chosen.record.addUnreportedTokens(Math.max(0, promptTokens - chosen.cachedTokens));
    this.sharesOf(placement.tenant).record(machine.site, nowMs);
    this.directory.assume(machine.engineId, placement.marks, nowMs);
  }

  private sharesOf(tenant: string): SiteShares {
    let shares = this.shares.get(tenant);
    if (!shares) {
      shares = new SiteShares();
      this.shares.set(tenant, shares);
    }
    return shares;
  }
}
