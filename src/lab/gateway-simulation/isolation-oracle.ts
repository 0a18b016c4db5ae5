/**
 * Checks the salts of all runs against the tenants that are isolated. What lies under a salt is taken to be
 * in reach of each later run with that salt, at any engine.
 */
import { CacheNamespaces } from '../../state/routing/cache-namespace.js';
import { cacheSaltOf } from '../../state/routing/generation.js';
import type { GatewaySimulation } from './gateway-simulation.js';
import type { ObservedRun } from './simulated-engine.js';
import { KEYS, SIMULATION_BOUNDS, SIMULATION_MODEL } from './simulation-fixtures.js';
import type { IsolationChange, ObservedRequest } from './simulation-records.js';

/** A violation of the rules on cached prompts of isolated tenants. */
export interface IsolationBreach {
  readonly rule:
    /** The salt is that of no configuration that may be in force. */
    | 'own-salt'
    /** What another tenant made is in reach although one of the two is isolated. */
    | 'isolated-memory';
  readonly detail: string;
}

/** A run with a salt, and the configurations that may be in force for it. */
interface SaltedRun {
  readonly run: ObservedRun;
  readonly salt: string;
  readonly tenant: string;
  /** Isolated tenants of each of these configurations. */
  readonly isolations: readonly ReadonlySet<string>[];
}

/** Returns all violations, in order of the runs. */
export function judgeIsolation(simulation: GatewaySimulation): IsolationBreach[] {
  const requests = new Map(simulation.requests.map((request) => [request.id, request]));
  const tenantsBySalt = new Map<string, Set<string>>();
  const breaches: IsolationBreach[] = [];
  for (const run of simulation.observations.runs) {
    const salted = saltedRunOf(run, requests.get(run.requestId), simulation);
    if (!salted) continue;
    const { salt, tenant } = salted;
    const makers = tenantsBySalt.get(salt) ?? new Set();
    breaches.push(...judgeSalt(salted), ...judgeMakers(salted, makers));
    tenantsBySalt.set(salt, makers.add(tenant));
  }
  return breaches;
}

function saltedRunOf(
  run: ObservedRun,
  request: ObservedRequest | undefined,
  { configuration, disturbances }: GatewaySimulation,
): SaltedRun | undefined {
  if (run.salt === undefined || !request) return undefined;
  const isLate = disturbances.isDisturbed(run.router, run.startedMs);
  const sinceMs = isLate ? 0 : request.sentMs - SIMULATION_BOUNDS.applyMs;
  const isolations = isolationsBetween(configuration.isolationChanges, sinceMs, run.startedMs);
  return { run, salt: run.salt, tenant: request.tenant, isolations };
}

/** Isolated tenants of the configuration at the first time, and of all later ones. */
function isolationsBetween(
  changes: readonly IsolationChange[],
  fromMs: number,
  untilMs: number,
): ReadonlySet<string>[] {
  const isolations: ReadonlySet<string>[] = [];
  let current: ReadonlySet<string> = new Set();
  for (const { tenant, isIsolated, atMs } of changes) {
    if (atMs > untilMs) break;
    if (atMs > fromMs) isolations.push(current);
    const others = [...current].filter((each) => each !== tenant);
    current = new Set(isIsolated ? [...others, tenant] : others);
  }
  return [...isolations, current];
}

function judgeSalt({ run, salt, tenant, isolations }: SaltedRun): IsolationBreach[] {
  const expected = isolations.map((isolated) => {
    const tenants = [...KEYS.keys()].map((name) => ({ name, isIsolated: isolated.has(name) }));
    const namespace = new CacheNamespaces(tenants).of(tenants.find(({ name }) => name === tenant));
    return cacheSaltOf(SIMULATION_MODEL, run.weightsVersion, namespace);
  });
  if (expected.includes(salt)) return [];
  return [{ rule: 'own-salt', detail: `${run.requestId}: ${salt} for ${expected.join(' or ')}` }];
}

function judgeMakers(
  { run, salt, tenant, isolations }: SaltedRun,
  makers: ReadonlySet<string>,
): IsolationBreach[] {
  const isIsolated = (name: string): boolean => isolations.every((isolated) => isolated.has(name));
  return [...makers]
    .filter((maker) => maker !== tenant && (isIsolated(maker) || isIsolated(tenant)))
    .map((maker) => ({
      rule: 'isolated-memory',
      detail: `${run.requestId} of ${tenant}: ${salt}, which ${maker} used`,
    }));
}
