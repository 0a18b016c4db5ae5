/** Checks the invariants of the brief over all that a simulated deployment did. */
import { SECOND_IDENTIFIER_SUFFIX } from '../../protocol/plain-backend/port.js';
import { expectedText } from '../engine/token-model.js';
import type { ObservedRequest } from './observed-request.js';
import { type World, requestIdOf } from './world.js';

/** After this much time on the machine list, an engine that leaves gets no new work. */
const LEAVING_GRACE_MS = 4_000;

/** A broken invariant. */
export interface Violation {
  /** Number in the brief's list, 1 to 9. */
  readonly invariant: number;
  readonly detail: string;
}

/** Everything the oracle finds wrong; call once all requests should have ended. */
export function findViolations(world: World): Violation[] {
  return [
    ...checkReuse(world),
    ...world.requests.flatMap((observed) => checkRequest(world, observed)),
    ...checkRuns(world),
    ...checkLeaving(world),
    ...checkConvergence(world),
  ];
}

/** 1: no reliance on another tenant's or older weights' cache. */
function checkReuse(world: World): Violation[] {
  return world.reuseViolations.map(({ usedBy, createdBy, reason }) => ({
    invariant: 1,
    detail: `${usedBy} used a block of ${createdBy}: ${reason}`,
  }));
}

function checkRequest(world: World, observed: ObservedRequest): Violation[] {
  const { requestId } = observed.request;
  const violations: Violation[] = observed.faults.map((fault) => ({
    invariant: 2,
    detail: `${requestId}: ${fault}`,
  }));
  if (observed.ends.length !== 1) {
    violations.push({ invariant: 2, detail: `${requestId}: ${observed.ends.length} ends` });
  }
  const [end] = observed.ends;
  if (end?.kind === 'finished') violations.push(...checkText(world, observed));
  if (end?.kind === 'outcome') violations.push(...checkOutcome(observed, end.body));
  if (end?.kind === 'failed' && end.failed.notRun) violations.push(...checkNotRun(world, observed));
  return violations;
}

/** 2: the whole stream, as the model would have written it in one piece. */
function checkText(world: World, observed: ObservedRequest): Violation[] {
  const { request } = observed;
  if (request.kind !== 'generation') return [];
  const prompt = new TextDecoder().decode(request.prompt);
  const expected = expectedText(world.tokenModel, prompt, request.maxTokens);
  if (observed.texts.join('') === expected) return [];
  const detail = `${request.requestId}: text differs (${observed.texts.length} of ${request.maxTokens})`;
  return [{ invariant: 2, detail }];
}

/** 4: the answer belongs to the request. */
function checkOutcome(observed: ObservedRequest, body: Uint8Array): Violation[] {
  const { requestId, tenant } = observed.request;
  const answer = JSON.parse(new TextDecoder().decode(body)) as Record<string, unknown>;
  const own = [requestId, requestId + SECOND_IDENTIFIER_SUFFIX];
  if (own.includes(String(answer.request_id)) && answer.tenant === tenant) return [];
  return [{ invariant: 4, detail: `${requestId} got the answer of ${String(answer.request_id)}` }];
}

/** 5: what was refused as not run was not run, then or later. */
function checkNotRun(world: World, observed: ObservedRequest): Violation[] {
  const { requestId, kind } = observed.request;
  const ran =
    kind === 'generation'
      ? world.acceptances.some((entry) => requestIdOf(entry.engineRequestId) === requestId)
      : ranWhenRefused(world, observed);
  return ran ? [{ invariant: 5, detail: `${requestId} was refused as not run and ran` }] : [];
}

/**
 * A key refused to one caller may be used by another at the same time or later; only then may it run
 * after the refusal.
 */
function ranWhenRefused(world: World, observed: ObservedRequest): boolean {
  const { requestId } = observed.request;
  const firstRunMs = world.backendStore.firstRunMs(requestId);
  if (firstRunMs === undefined) return false;
  if (firstRunMs <= observed.endedMs) return true;
  const others = world.requests.filter(
    (other) => other !== observed && other.request.requestId === requestId,
  );
  return !others.some((other) => other.endedMs > observed.endedMs);
}

/** 6: what may not be repeated ran at most once. */
function checkRuns(world: World): Violation[] {
  const violations: Violation[] = [];
  const once = new Set<string>();
  for (const { request } of world.requests) {
    if (request.kind === 'operation' && !request.repeatable) once.add(request.requestId);
  }
  for (const requestId of once) {
    const runs = world.backendStore.runsOf(requestId);
    if (runs > 1) violations.push({ invariant: 6, detail: `${requestId} ran ${runs} times` });
  }
  return violations;
}

/** 7: no new work for an engine that leaves, some seconds after the list was told. */
function checkLeaving(world: World): Violation[] {
  return world.acceptances
    .filter(({ engineId, atMs, quietSinceMs }) => {
      const sinceMs = world.leavingSinceMs.get(engineId);
      if (sinceMs === undefined) return false;
      // While the platform is out or nodes are cut off, the news can't reach everybody.
      return atMs > Math.max(sinceMs, quietSinceMs) + LEAVING_GRACE_MS;
    })
    .map(({ engineId, engineRequestId }) => ({
      invariant: 7,
      detail: `${engineId} leaves and was given ${engineRequestId}`,
    }));
}

/** 9: the accepted configuration is in force at every node that runs, and never went back. */
function checkConvergence(world: World): Violation[] {
  const wanted = BigInt(world.configurationVersion);
  const regressions = world.regressions.map((detail) => ({ invariant: 9, detail }));
  const behind = [...world.routers, ...world.agents]
    .filter(({ host, stopping }) => host.isRunning && !stopping)
    .filter(({ node }) => node.configuration.revision !== wanted)
    .map(({ name, node }) => ({
      invariant: 9,
      detail: `${name} has revision ${node.configuration.revision}, accepted is ${wanted}`,
    }));
  return [...regressions, ...behind];
}
