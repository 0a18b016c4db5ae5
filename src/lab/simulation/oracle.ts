/** Checks the service's invariants on the record of a simulated deployment. */
import { SECOND_IDENTIFIER_SUFFIX } from '../../protocol/plain-backend/port.js';
import { expectedText } from '../engine/token-model.js';
import type { ObservedRequest } from './observed-request.js';
import { type DeploymentSimulation, requestIdOf } from './deployment-simulation.js';

/** Time after which a leaving engine on the machine list must not receive new work. */
const LEAVING_GRACE_MS = 4_000;

/** A violated invariant. */
export interface Violation {
  /** Number of the invariant, 1 to 9. */
  readonly invariant: number;
  readonly detail: string;
}

/** Returns all violations; to be called when all requests should have ended. */
export function findViolations(simulation: DeploymentSimulation): Violation[] {
  return [
    ...checkCacheReuse(simulation),
    ...simulation.requests.flatMap((observed) => checkRequest(simulation, observed)),
    ...checkSingleExecution(simulation),
    ...checkLeaving(simulation),
    ...checkConvergence(simulation),
  ];
}

/** 1: no reuse of blocks that another tenant or other weights created. */
function checkCacheReuse(simulation: DeploymentSimulation): Violation[] {
  return simulation.reuseViolations.map(({ usedBy, createdBy, reason }) => ({
    invariant: 1,
    detail: `${usedBy} used a block of ${createdBy}: ${reason}`,
  }));
}

function checkRequest(simulation: DeploymentSimulation, observed: ObservedRequest): Violation[] {
  const { requestId } = observed.request;
  const violations: Violation[] = observed.protocolViolations.map((fault) => ({
    invariant: 2,
    detail: `${requestId}: ${fault}`,
  }));
  if (observed.ends.length !== 1) {
    violations.push({ invariant: 2, detail: `${requestId}: ended ${observed.ends.length} times` });
  }
  const [end] = observed.ends;
  if (end?.kind === 'finished') violations.push(...checkText(simulation, observed));
  if (end?.kind === 'outcome') violations.push(...checkOutcome(observed, end.body));
  if (end?.kind === 'failed' && end.failed.notRun)
    violations.push(...checkNotRun(simulation, observed));
  return violations;
}

/** 2: the received text equals the text that the model generates without interruption. */
function checkText(simulation: DeploymentSimulation, observed: ObservedRequest): Violation[] {
  const { request } = observed;
  if (request.kind !== 'generation') return [];
  const prompt = new TextDecoder().decode(request.prompt);
  const expected = expectedText(simulation.tokenModel, prompt, request.maxTokens);
  if (observed.texts.join('') === expected) return [];
  const detail = `${request.requestId}: text differs (${observed.texts.length} of ${request.maxTokens})`;
  return [{ invariant: 2, detail }];
}

/** 4: the response belongs to the request. */
function checkOutcome(observed: ObservedRequest, body: Uint8Array): Violation[] {
  const { requestId, tenant } = observed.request;
  const response = JSON.parse(new TextDecoder().decode(body)) as Record<string, unknown>;
  const acceptedIds = [requestId, requestId + SECOND_IDENTIFIER_SUFFIX];
  if (acceptedIds.includes(String(response.request_id)) && response.tenant === tenant) return [];
  return [
    { invariant: 4, detail: `${requestId} got the response of ${String(response.request_id)}` },
  ];
}

/** 5: a request that was rejected as not run did not run, also not later. */
function checkNotRun(simulation: DeploymentSimulation, observed: ObservedRequest): Violation[] {
  const { requestId, kind } = observed.request;
  const ran =
    kind === 'generation'
      ? simulation.acceptances.some((entry) => requestIdOf(entry.engineRequestId) === requestId)
      : ranAfterRejection(simulation, observed);
  return ran ? [{ invariant: 5, detail: `${requestId} was rejected as not run, but ran` }] : [];
}

/**
 * Whether a rejected operation ran without being allowed to. It may run after the rejection only if
 * another request with the same idempotency key ended later.
 */
function ranAfterRejection(simulation: DeploymentSimulation, observed: ObservedRequest): boolean {
  const { requestId } = observed.request;
  const firstRunMs = simulation.backendStore.firstRunMs(requestId);
  if (firstRunMs === undefined) return false;
  if (firstRunMs <= observed.endedMs) return true;
  const others = simulation.requests.filter(
    (other) => other !== observed && other.request.requestId === requestId,
  );
  return !others.some((other) => other.endedMs > observed.endedMs);
}

/** 6: a non-repeatable operation ran at most once. */
function checkSingleExecution(simulation: DeploymentSimulation): Violation[] {
  const violations: Violation[] = [];
  const nonRepeatableIds = new Set<string>();
  for (const { request } of simulation.requests) {
    if (request.kind === 'operation' && !request.repeatable)
      nonRepeatableIds.add(request.requestId);
  }
  for (const requestId of nonRepeatableIds) {
    const runs = simulation.backendStore.runsOf(requestId);
    if (runs > 1) violations.push({ invariant: 6, detail: `${requestId} ran ${runs} times` });
  }
  return violations;
}

/** 7: a leaving engine receives no new work after the grace period. */
function checkLeaving(simulation: DeploymentSimulation): Violation[] {
  return simulation.acceptances
    .filter(({ engineId, atMs, undisturbedSinceMs }) => {
      const sinceMs = simulation.leavingSinceMs.get(engineId);
      if (sinceMs === undefined) return false;
      // During a platform outage or a partition, the change may not reach all routers.
      return atMs > Math.max(sinceMs, undisturbedSinceMs) + LEAVING_GRACE_MS;
    })
    .map(({ engineId, engineRequestId }) => ({
      invariant: 7,
      detail: `${engineId} is leaving, but accepted ${engineRequestId}`,
    }));
}

/** 9: every running node has the accepted configuration and never returned to an older one. */
function checkConvergence(simulation: DeploymentSimulation): Violation[] {
  const acceptedRevision = BigInt(simulation.configurationVersion);
  const regressions = simulation.regressions.map((detail) => ({ invariant: 9, detail }));
  const outdated = [...simulation.routers, ...simulation.agents]
    .filter(({ host, stopping }) => host.isRunning && !stopping)
    .filter(({ node }) => node.configuration.revision !== acceptedRevision)
    .map(({ name, node }) => ({
      invariant: 9,
      detail: `${name} has revision ${node.configuration.revision}, accepted is ${acceptedRevision}`,
    }));
  return [...regressions, ...outdated];
}
