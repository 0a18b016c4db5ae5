/** The decision: which engine answers a generation request. Pure; called once an attempt. */
import type { RandomSource } from '../runtime/random.js';
import { type EngineRecord, takesNewWork } from './engine-table.js';
import type { PrefixDepth } from './prefix-directory.js';
import { MARK_TOKENS } from './prefix-chain.js';

/** What a request needs of an engine. */
export interface ChoiceRequest {
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
  readonly promptTokens: number;
  /** Sites that may take it. */
  readonly sites: ReadonlySet<string>;
  /** Zone of the router, for the way there. */
  readonly zone: string;
  /** 0: only the wait counts; 1: recomputation counts most. */
  readonly recomputeWeight: number;
  /** Engines that failed this request already. */
  readonly excluded: ReadonlySet<string>;
}

/** One engine as weighed for a request, for `peatspan explain`. */
export interface Candidate {
  readonly record: EngineRecord;
  /** Prompt tokens believed kept, weighted by confidence. */
  readonly keptTokens: number;
  readonly waitMs: number;
  readonly recomputeMs: number;
  readonly wayMs: number;
  /** What the choice compares. */
  readonly cost: number;
}

/** The chosen engine and what it was compared with. */
export interface Choice {
  readonly chosen: Candidate;
  /** The best few, chosen one included, by cost. */
  readonly considered: readonly Candidate[];
}

const OTHER_ZONE_MS = 2.5;
const RECOMPUTE_EMPHASIS = 3;
/** Wait reckoned for each request over what the engine runs at once. */
const QUEUED_REQUEST_MS = 60;
/** Wait reckoned for each request that shares the batch. */
const BATCHED_REQUEST_MS = 0.6;
const CONSIDERED = 4;
/** Engines within this of the best cost share the work, so that a lagging report herds nobody. */
const NEAR_FACTOR = 1.15;
const NEAR_MS = 3;
const MS_PER_SECOND = 1_000;

/** Picks among the cheapest engines, or answers undefined where none may take the request. */
export function chooseEngine(
  records: Iterable<EngineRecord>,
  depths: ReadonlyMap<string, PrefixDepth>,
  request: ChoiceRequest,
  random: RandomSource,
  nowMs: number,
): Choice | undefined {
  const candidates: Candidate[] = [];
  for (const record of records) {
    if (!mayServe(record, request, nowMs)) continue;
    candidates.push(weigh(record, depths.get(record.machine.engineId), request));
  }
  candidates.sort((left, right) => left.cost - right.cost);
  const best = candidates[0];
  if (!best) return undefined;
  const limit = best.cost * NEAR_FACTOR + NEAR_MS;
  const considered = candidates.slice(0, CONSIDERED);
  const near = considered.filter((candidate) => candidate.cost <= limit);
  return { chosen: drawByCost(near, best, random), considered };
}

/** Whether the engine serves the request's model with the right weights and takes work. */
export function mayServe(record: EngineRecord, request: ChoiceRequest, nowMs: number): boolean {
  const report = record.report;
  if (!report || !takesNewWork(record, nowMs)) return false;
  if (report.model !== request.model) return false;
  if (report.weightsDigest !== request.weightsDigest) return false;
  if (report.adapterDigest !== request.adapterDigest) return false;
  if (!request.sites.has(record.machine.site)) return false;
  return !request.excluded.has(record.machine.engineId);
}

function weigh(
  record: EngineRecord,
  depth: PrefixDepth | undefined,
  request: ChoiceRequest,
): Candidate {
  const load = record.report?.load;
  const rate = Math.max(1, load?.prefillTokensPerSecond ?? 1);
  const believed = depth ? depth.marks * MARK_TOKENS * depth.confidence : 0;
  const keptTokens = Math.min(believed, request.promptTokens);
  const queuedTokens = (load?.waitingTokens ?? 0) + record.unreportedTokens;
  const requests = load?.requests ?? 0;
  const overflow = Math.max(0, requests - (load?.maximumRequests ?? requests));
  const waitMs =
    (queuedTokens / rate) * MS_PER_SECOND +
    overflow * QUEUED_REQUEST_MS +
    requests * BATCHED_REQUEST_MS;
  const recomputeMs = ((request.promptTokens - keptTokens) / rate) * MS_PER_SECOND;
  const wayMs = record.machine.zone === request.zone ? 0 : OTHER_ZONE_MS;
  const emphasis = 1 + RECOMPUTE_EMPHASIS * request.recomputeWeight;
  return {
    record,
    keptTokens,
    waitMs,
    recomputeMs,
    wayMs,
    cost: waitMs + wayMs + recomputeMs * emphasis,
  };
}

/** Draws one with a chance that falls with its cost. */
function drawByCost(near: readonly Candidate[], best: Candidate, random: RandomSource): Candidate {
  const weights = near.map((candidate) => 1 / (candidate.cost + NEAR_MS));
  let rest = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, candidate] of near.entries()) {
    rest -= weights[index] ?? 0;
    if (rest < 0) return candidate;
  }
  return best;
}
