/**
 * Chooses the engine for one attempt of a generation request. A pure function.
 *
 * One pass computes the cost of each engine that serves the model without cached prefixes. Engines
 * with an estimated cached prefix are then compared again with it. Only the cheapest few are kept,
 * so that the pass does not allocate.
 */
import type { RandomSource } from '../runtime/random.js';
import type { EngineGroup, EngineRecord, EngineTable, ServedModel } from './engine-table.js';
import type { PrefixDepth } from './prefix-directory.js';
import { MARK_TOKENS } from './prefix-chain.js';

/** Requirements of a request on an engine. */
export interface ChoiceRequest {
  readonly served: ServedModel;
  readonly promptTokens: number;
  /** Sites to which the request may be sent. */
  readonly sites: ReadonlySet<string>;
  /** Zone of the router. */
  readonly zone: string;
  /** From 0 (minimizes the wait) to 1 (minimizes recomputation). */
  readonly recomputeWeight: number;
  /** Engines at which earlier attempts of this request failed. */
  readonly excluded: ReadonlySet<string>;
}

/** Estimated cost of a request at one engine. */
export interface Candidate {
  readonly record: EngineRecord;
  /** Estimated cached prompt tokens, weighted by confidence. */
  readonly cachedTokens: number;
  readonly waitMs: number;
  readonly recomputeMs: number;
  readonly networkMs: number;
  /** Weighted sum of the times; the choice minimizes it. */
  readonly cost: number;
}

/** The chosen engine and its alternatives. */
export interface Choice {
  readonly chosen: Candidate;
  /** The cheapest engines in order of cost, including the chosen one. */
  readonly candidates: readonly Candidate[];
}

/** Estimated additional latency of an engine in another zone. */
const CROSS_ZONE_LATENCY_MS = 2.5;
/** Additional weight of recomputation time at a recompute weight of 1. */
const RECOMPUTE_WEIGHT_FACTOR = 3;
const MAXIMUM_CANDIDATES = 4;
/**
 * Engines within this factor and offset of the lowest cost share the load. Otherwise all routers
 * would choose the same engine until its next load report.
 */
const COST_TOLERANCE_FACTOR = 1.15;
const COST_TOLERANCE_MS = 3;

/** Picks randomly among the cheapest engines; undefined if no engine accepts the request. */
export function chooseEngine(
  table: EngineTable,
  depths: ReadonlyMap<string, PrefixDepth>,
  request: ChoiceRequest,
  random: RandomSource,
  nowMs: number,
): Choice | undefined {
  const best = new CheapestEngines();
  for (const group of table.serving(request.served)) {
    if (request.sites.has(group.site)) scanGroup(group, request, nowMs, best);
  }
  for (const [engineId, depth] of depths) {
    const record = table.get(engineId);
    if (record && mayServe(record, request, nowMs)) {
      best.offer(record, costOf(record, request, cachedTokensOf(depth, request)));
    }
  }
  const candidates = best.records.map((record) =>
    toCandidate(record, depths.get(record.machine.engineId), request),
  );
  const [cheapest] = candidates;
  if (!cheapest) return undefined;
  const limit = cheapest.cost * COST_TOLERANCE_FACTOR + COST_TOLERANCE_MS;
  const nearCheapest = candidates.filter((candidate) => candidate.cost <= limit);
  return { chosen: drawByCost(nearCheapest, cheapest, random), candidates };
}

/** The engines with the lowest cost, in order of cost. */
class CheapestEngines {
  readonly records: EngineRecord[] = [];
  private readonly costs: number[] = [];

  /** Cost below which another engine is added. */
  get limit(): number {
    return this.costs[MAXIMUM_CANDIDATES - 1] ?? Number.POSITIVE_INFINITY;
  }

  /** Adds an engine if it is cheap enough, or updates its cost if the new one is lower. */
  offer(record: EngineRecord, cost: number): void {
    const currentIndex = this.records.indexOf(record);
    if (currentIndex >= 0) {
      if ((this.costs[currentIndex] ?? 0) <= cost) return;
      this.records.splice(currentIndex, 1);
      this.costs.splice(currentIndex, 1);
    }
    let index = this.costs.length;
    while (index > 0 && (this.costs[index - 1] ?? 0) > cost) index -= 1;
    this.records.splice(index, 0, record);
    this.costs.splice(index, 0, cost);
    this.records.length = Math.min(this.records.length, MAXIMUM_CANDIDATES);
    this.costs.length = this.records.length;
  }
}

function scanGroup(
  group: EngineGroup,
  request: ChoiceRequest,
  nowMs: number,
  best: CheapestEngines,
): void {
  const { excluded } = request;
  const networkMs = group.zone === request.zone ? 0 : CROSS_ZONE_LATENCY_MS;
  const weightedTokens = request.promptTokens * recomputeFactorOf(request);
  let limit = best.limit;
  for (const record of group.engines) {
    const cost = record.waitMs + networkMs + weightedTokens * record.tokenMs;
    if (cost >= limit || !record.acceptsNewWork(nowMs)) continue;
    if (excluded.size > 0 && excluded.has(record.machine.engineId)) continue;
    best.offer(record, cost);
    limit = best.limit;
  }
}

/** Whether the engine serves the requested model and accepts new work. */
function mayServe(record: EngineRecord, request: ChoiceRequest, nowMs: number): boolean {
  const { site, engineId } = record.machine;
  if (!request.sites.has(site) || request.excluded.has(engineId)) return false;
  return record.serves(request.served) && record.acceptsNewWork(nowMs);
}

function recomputeFactorOf(request: ChoiceRequest): number {
  return 1 + RECOMPUTE_WEIGHT_FACTOR * request.recomputeWeight;
}

function cachedTokensOf(depth: PrefixDepth | undefined, request: ChoiceRequest): number {
  if (!depth) return 0;
  return Math.min(depth.marks * MARK_TOKENS * depth.confidence, request.promptTokens);
}

function costOf(record: EngineRecord, request: ChoiceRequest, cachedTokens: number): number {
  const networkMs = record.machine.zone === request.zone ? 0 : CROSS_ZONE_LATENCY_MS;
  const recomputeMs = (request.promptTokens - cachedTokens) * record.tokenMs;
  return record.waitMs + networkMs + recomputeMs * recomputeFactorOf(request);
}

function toCandidate(
  record: EngineRecord,
  depth: PrefixDepth | undefined,
  request: ChoiceRequest,
): Candidate {
  const cachedTokens = cachedTokensOf(depth, request);
  return {
    record,
    cachedTokens,
    waitMs: record.waitMs,
    recomputeMs: (request.promptTokens - cachedTokens) * record.tokenMs,
    networkMs: record.machine.zone === request.zone ? 0 : CROSS_ZONE_LATENCY_MS,
    cost: costOf(record, request, cachedTokens),
  };
}

/** Picks one at random, with a probability that decreases with its cost. */
function drawByCost(
  nearCheapest: readonly Candidate[],
  best: Candidate,
  random: RandomSource,
): Candidate {
  const weights = nearCheapest.map((candidate) => 1 / (candidate.cost + COST_TOLERANCE_MS));
  let rest = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, candidate] of nearCheapest.entries()) {
    rest -= weights[index] ?? 0;
    if (rest < 0) return candidate;
  }
  return best;
}
