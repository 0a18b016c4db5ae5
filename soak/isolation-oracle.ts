/**
 * Checks that no request has memory in reach that another tenant made while one of the two is isolated. What
 * lies under a salt is taken to be in reach of each later run with that salt, at any engine.
 */
import type { CallRecord } from './callers.js';
import type { Observations } from './deployment.js';
import type { ReportedRun } from './messages.js';
import type { Violation } from './oracle.js';
import { SLACK_MS } from './router-process.js';

/** Time from the acknowledgement of a configuration until it is in force at all routers. */
const CONFIGURATION_APPLY_MS = 2_000;

/** The records that the check needs. */
export interface IsolationRecord {
  readonly calls: readonly CallRecord[];
  readonly observations: Pick<Observations, 'runs' | 'isolationChanges'>;
}

/** @param isExempt whether the router that sent a run need not know the configuration in force */
export function judgeIsolation(
  { calls, observations }: IsolationRecord,
  isExempt: (run: ReportedRun) => boolean,
): Violation[] {
  const callsById = new Map(calls.map((call) => [call.id, call]));
  const tenantsBySalt = new Map<string, Set<string>>();
  const runs = [...observations.runs].sort((left, right) => left.startedMs - right.startedMs);
  return runs.flatMap((run) => {
    const { salt, tenant, requestId, startedMs } = run;
    const call = callsById.get(requestId);
    if (salt === undefined || tenant === undefined || !call) return [];
    const makers = tenantsBySalt.get(salt) ?? new Set<string>();
    const others = [...makers].filter((maker) => maker !== tenant);
    tenantsBySalt.set(salt, makers.add(tenant));
    const fromMs = call.sentMs - CONFIGURATION_APPLY_MS - SLACK_MS;
    const isIsolated = (name: string): boolean =>
      isIsolatedThroughout(observations.isolationChanges, name, fromMs, startedMs);
    const broken = others.filter((maker) => isIsolated(maker) || isIsolated(tenant));
    if (broken.length === 0 || isExempt(run)) return [];
    const detail = `${requestId} of ${tenant} under ${salt}, as ${broken.join(', ')} before`;
    return [{ promise: 'isolated-memory', detail }];
  });
}

/** Whether each configuration that may be in force within the span isolates the tenant. */
function isIsolatedThroughout(
  changes: Observations['isolationChanges'],
  name: string,
  fromMs: number,
  untilMs: number,
): boolean {
  const own = changes.filter(({ tenant }) => tenant === name);
  const first = own.findLast(({ atMs }) => atMs <= fromMs);
  const later = own.filter(({ writtenMs, atMs }) => writtenMs <= untilMs && atMs > fromMs);
  return first !== undefined && [first, ...later].every(({ isIsolated }) => isIsolated);
}
