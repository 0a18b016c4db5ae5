/**
 * The decision: which engine answers a generation request. Pure; called once an attempt.
 *
 * One pass over the engines that serve the model reckons each as if it kept nothing; the few that
 * are believed to keep a part of the prompt are reckoned again with it. Only the best few of all are
 * held, so that the pass allocates nothing.
 */
import type { RandomSource } from '../runtime/random.js';
import type { EngineGroup, EngineRecord, EngineTable, ServedModel } from './engine-table.js';
import type { PrefixDepth } from './prefix-directory.js';
import { MARK_TOKENS } from './prefix-chain.js';

/** What a request needs of an engine. */
export interface ChoiceRequest {
  readonly served: ServedModel;
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

/** One engine as weighed for a request. All times in milliseconds. */
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
/** How many times as much a recomputed millisecond counts where only recomputation matters. */
const RECOMPUTE_EMPHASIS = 3;
const CONSIDERED = 4;
/** Engines within this of the best cost share the work, so that a lagging report herds nobody. */
const NEAR_FACTOR = 1.15;
const NEAR_MS = 3;

/** Picks among the cheapest engines, or answers undefined where none may take the request. */
export function chooseEngine(
  table: EngineTable,
  depths: ReadonlyMap<string, PrefixDepth>,
  request: ChoiceRequest,
  random: RandomSource,
  nowMs: number,
): Choice | undefined {
  const best = new BestFew();
  for (const group of table.serving(request.served)) {
    if (request.sites.has(group.site)) scan(group, request, nowMs, best);
  }
  for (const [engineId, depth] of depths) {
    const record = table.get(engineId);
    if (record && mayServe(record, request, nowMs)) {
      best.offer(record, costOf(record, request, keptTokensOf(depth, request)));
    }
  }
  const considered = best.records.map((record) =>
    weigh(record, depths.get(record.machine.engineId), request),
  );
  const [cheapest] = considered;
  if (!cheapest) return undefined;
  const limit = cheapest.cost * NEAR_FACTOR + NEAR_MS;
  const near = considered.filter((candidate) => candidate.cost <= limit);
  return { chosen: drawByCost(near, cheapest, random), considered };
}

/** The engines of lowest cost, in order. */
class BestFew {
  readonly records: EngineRecord[] = [];
  private readonly costs: number[] = [];

  /** Cost that a further engine must undercut. */
  get limit(): number {
    return this.costs[CONSIDERED - 1] ?? Number.POSITIVE_INFINITY;
  }

  /** Takes an engine at its cost; one that is held already only at a lower cost. */
  offer(record: EngineRecord, cost: number): void {
    const held = this.records.indexOf(record);
    if (held >= 0) {
      if ((this.costs[held] ?? 0) <= cost) return;
      this.records.splice(held, 1);
      this.costs.splice(held, 1);
    }
    let index = this.costs.length;
    while (index > 0 && (this.costs[index - 1] ?? 0) > cost) index -= 1;
    this.records.splice(index, 0, record);
    this.costs.splice(index, 0, cost);
    this.records.length = Math.min(this.records.length, CONSIDERED);
    this.costs.length = this.records.length;
  }
}

function scan(group: EngineGroup, request: ChoiceRequest, nowMs: number, best: BestFew): void {
  const { excluded } = request;
  const wayMs = group.zone === request.zone ? 0 : OTHER_ZONE_MS;
  const weightedTokens = request.promptTokens * emphasisOf(request);
  let limit = best.limit;
  for (const record of group.engines) {
    const cost = record.waitMs + wayMs + weightedTokens * record.tokenMs;
    if (cost >= limit || !record.takesNewWork(nowMs)) continue;
    if (excluded.size > 0 && excluded.has(record.machine.engineId)) continue;
    best.offer(record, cost);
    limit = best.limit;
  }
}

/** Whether the engine serves what the request needs and takes work. */
function mayServe(record: EngineRecord, request: ChoiceRequest, nowMs: number): boolean {
  const { site, engineId } = record.machine;
  if (!request.sites.has(site) || request.excluded.has(engineId)) return false;
  return record.serves(request.served) && record.takesNewWork(nowMs);
}

function emphasisOf(request: ChoiceRequest): number {
  return 1 + RECOMPUTE_EMPHASIS * request.recomputeWeight;
}

function keptTokensOf(depth: PrefixDepth | undefined, request: ChoiceRequest): number {
  if (!depth) return 0;
  return Math.min(depth.marks * MARK_TOKENS * depth.confidence, request.promptTokens);
}

function costOf(record: EngineRecord, request: ChoiceRequest, keptTokens: number): number {
  const wayMs = record.machine.zone === request.zone ? 0 : OTHER_ZONE_MS;
  const recomputeMs = (request.promptTokens - keptTokens) * record.tokenMs;
  return record.waitMs + wayMs + recomputeMs * emphasisOf(request);
}

function weigh(
  record: EngineRecord,
  depth: PrefixDepth | undefined,
  request: ChoiceRequest,
): Candidate {
  const keptTokens = keptTokensOf(depth, request);
  return {
    record,
    keptTokens,
    waitMs: record.waitMs,
    recomputeMs: (request.promptTokens - keptTokens) * record.tokenMs,
    wayMs: record.machine.zone === request.zone ? 0 : OTHER_ZONE_MS,
    cost: costOf(record, request, keptTokens),
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
