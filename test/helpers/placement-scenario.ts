/** Deployments, traffic and outcomes of the placement harness. */
import { SeededRandom } from '../../src/runtime/random.js';

/** A kind of generation requested by callers. */
export interface GenerationKind {
  readonly name: string;
  readonly perSecond: number;
  readonly affinityKeyCount: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly firstTokenObjectiveMs: number;
  readonly maximumPauseMs: number;
  readonly priority: number;
  /** First shared part, common to several affinity keys; part of `sharedTokens`. */
  readonly root?: {
    readonly count: number;
    readonly tokens: number;
    /** Start of the part identifiers, if not that of the kind. */
    readonly name?: string;
  };
  /** Whether engines cache the whole prompts, with the part that no other prompt shares. */
  readonly cachesOwnParts?: boolean;
  /** Share of the requests that use one affinity key, by default the last, for some time. */
  readonly hotKey?: {
    readonly share: number;
    readonly fromMs: number;
    readonly untilMs: number;
    readonly key?: number;
  };
}

/** Engines other than those that the first tests of the harness were written for. */
export interface EngineFleet {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly stepMs: number;
  readonly stepMsPerStream: number;
  readonly readTokensPerMs: number;
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
  /** Speeds relative to the rates above, assigned to the engines in turn. */
  readonly speeds: readonly number[];
  /** Each engine is `factor` times slower for `share` of the time, `periodMs` at a time. */
  readonly noise?: { readonly factor: number; readonly share: number; readonly periodMs: number };
}

/** Simulated deployment and its traffic. */
export interface PlacementScenario {
  readonly routers: number;
  readonly engines: number;
  readonly zones: number;
  readonly kinds: readonly GenerationKind[];
  /** Period of a router's load reports, in milliseconds. */
  readonly reportPeriodMs: number;
  /** Number of random routers that receive each report; undefined for all. */
  readonly reportFanout?: number;
  readonly seed: number;
  readonly fleet?: EngineFleet;
  /** Whether the routers know the speed of each engine. */
  readonly areSpeedsKnown?: boolean;
  /** Gap objective of the streams, as passed to placements. */
  readonly gapObjectiveMs?: number;
  /** Whether engines fetch the prefixes that placement tells them to. */
  readonly hasFetches?: boolean;
  /** Link rate of the engines. */
  readonly linkMbps?: number;
  /** Time from which outcomes and tokens are counted; 0 if undefined. */
  readonly countFromMs?: number;
  /** Exchange of prefix reads through one collector; undefined for none. */
  readonly prefixReads?: { readonly lostShare: number };
}

/** Outcome counts of one kind of generation. */
export interface KindOutcomes {
  sent: number;
  onTime: number;
  lateFirstTokens: number;
  latePauses: number;
  rejected: number;
}

/** Prompt tokens of one kind of generation, summed over the requests that engines admitted. */
export interface KindPrefills {
  admitted: number;
  /** Tokens that placement expected to be prefilled. */
  believedUnreadTokens: number;
  unreadTokens: number;
}

/** Engines of scenarios that name none. */
export const DEFAULT_FLEET: EngineFleet = {
  slots: 16,
  cacheTokens: 86_721,
  stepMs: 5.23,
  stepMsPerStream: 0,
  readTokensPerMs: 38.4,
  chunkTokens: 4_096,
  tokensPerEvent: 6,
  speeds: [1, 1, 1 / 1.3],
};

/** Returns the slowdown of one engine by noise, drawn anew for each period. */
export function noiseOf(
  { factor, share, periodMs }: NonNullable<EngineFleet['noise']>,
  seed: number,
): (nowMs: number) => number {
  const random = new SeededRandom(seed);
  const isSlow: boolean[] = [];
  return (nowMs) => {
    const period = Math.floor(nowMs / periodMs);
    while (isSlow.length <= period) isSlow.push(random.next() < share);
    return isSlow[period] ? factor : 1;
  };
}

/** Outcomes before the first request. */
export function noOutcomes(): KindOutcomes {
  return { sent: 0, onTime: 0, lateFirstTokens: 0, latePauses: 0, rejected: 0 };
}

/** Prefills before the first request. */
export function noPrefills(): KindPrefills {
  return { admitted: 0, believedUnreadTokens: 0, unreadTokens: 0 };
}
