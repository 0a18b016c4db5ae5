/** Brings template, directory and engine table together for one decision. */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import { type Candidate, type ChoiceRequest, chooseEngine } from '../../state/engine-choice.js';
import type { EngineTable } from '../../state/engine-table.js';
import { tokensOfBytes } from '../../state/prefix-chain.js';
import type { PrefixDirectory } from '../../state/prefix-directory.js';
import { SiteShares } from '../../state/site-shares.js';
import type { ModelVersion, TenantParameters } from '../../state/template-set.js';

/** A generation to place. */
export interface Placement {
  readonly tenant: string;
  readonly parameters: TenantParameters;
  readonly model: string;
  readonly version: ModelVersion;
  readonly marks: readonly bigint[];
  readonly promptBytes: number;
  readonly excluded: ReadonlySet<string>;
}

/** Chooses engines for one router. */
export class EngineSelector {
  private readonly shares = new Map<string, SiteShares>();

  constructor(
    private readonly zone: string,
    private readonly engines: EngineTable,
    private readonly directory: PrefixDirectory,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** The engine for the request; undefined where none may take it. */
  choose(placement: Placement): Candidate | undefined {
    const nowMs = this.clock.now();
    const { parameters } = placement;
    const wanted = Object.entries(parameters.site_shares).filter(([, share]) => share > 0);
    const open = this.sharesOf(placement.tenant).openSites(parameters.site_shares, nowMs);
    // Where no engine of an open site can serve, any site with a share may: late beats never.
    const chosen =
      this.chooseAt(placement, open, nowMs) ??
      this.chooseAt(placement, new Set(wanted.map(([site]) => site)), nowMs);
    if (chosen) this.noteSent(placement, chosen, nowMs);
    return chosen;
  }

  /** Share of the tenant's recent work at each site. */
  sharesMet(tenant: string): Map<string, number> {
    return this.sharesOf(tenant).met(this.clock.now());
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

  private noteSent(placement: Placement, chosen: Candidate, nowMs: number): void {
    const { machine, breaker } = chosen.record;
    breaker.onSent(nowMs);
    const promptTokens = tokensOfBytes(placement.promptBytes);
    chosen.record.addUnreported(Math.max(0, promptTokens - chosen.keptTokens));
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
