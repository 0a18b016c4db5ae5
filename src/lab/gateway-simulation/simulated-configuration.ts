/** The configuration that the operator of the simulated deployment writes, and its changes. */
import type { Clock } from '../../runtime/clock.js';
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';
import type { LimitChange } from './limit-change.js';
import type { SimulatedObjectStore } from './simulated-object-store.js';
import type { SimulatedOperator } from './simulated-operator.js';
import {
  ISOLATED_TENANT,
  KEYS,
  KINDS,
  REQUEST_KINDS,
  ROUTE_TIMEOUT_MS,
  type RequestKind,
  simulationConfiguration,
} from './simulation-fixtures.js';
import type { Acknowledgement, IsolationChange, RouteChange } from './simulation-records.js';

/** Changes of the configuration; they have no effect while the store is down. */
export class SimulatedConfiguration {
  /** Changes of tenant limits that the store acknowledged, oldest first. */
  readonly limitChanges: LimitChange[] = [];
  /** Changes of routes that the store acknowledged, oldest first. */
  readonly routeChanges: RouteChange[] = REQUEST_KINDS.map((kind) => ({
    kind,
    timeoutMs: ROUTE_TIMEOUT_MS,
    atMs: 0,
  }));
  /** Changes of tenants' isolation that the store acknowledged, oldest first. */
  readonly isolationChanges: IsolationChange[] = [
    { tenant: ISOLATED_TENANT, isIsolated: true, atMs: 0 },
  ];
  private readonly keys = new Map([...KEYS].map(([tenant, keys]) => [tenant, [...keys]]));
  private version = 0;

  constructor(
    private readonly store: SimulatedObjectStore,
    private readonly operator: SimulatedOperator,
    private readonly clock: Clock,
    private readonly acknowledgements: Acknowledgement[],
  ) {}

  /** Removes a tenant's key or adds it again. */
  toggleKey(tenant: string, keyIndex: number): void {
    const key = KEYS.get(tenant)?.[keyIndex];
    const present = this.keys.get(tenant);
    if (key === undefined || !present || this.store.isDown) return;
    const position = present.indexOf(key);
    const kind = position >= 0 ? 'key-removed' : 'key-added';
    if (position >= 0) present.splice(position, 1);
    else present.push(key);
    this.acknowledgements.push({ kind, subject: key, atMs: this.clock.now() });
    this.write();
  }

  /** Changes a tenant's limit; undefined removes it. */
  limitTenant(tenant: string, limit: TenantLimit | undefined): void {
    if (this.store.isDown) return;
    this.limitChanges.push({ tenant, limit, atMs: this.clock.now() });
    this.write();
  }

  /** Isolates a tenant, or lets it share cached prompts again. */
  isolateTenant(tenant: string, isIsolated: boolean): void {
    if (this.store.isDown) return;
    this.isolationChanges.push({ tenant, isIsolated, atMs: this.clock.now() });
    this.write();
  }

  /** Changes the time-out of a kind's route; undefined removes the route. */
  changeRoute(kind: RequestKind, timeoutMs: number | undefined): void {
    if (this.store.isDown) return;
    this.routeChanges.push({ kind, timeoutMs, atMs: this.clock.now() });
    this.write();
  }

  private isIsolated(name: string): boolean {
    return this.isolationChanges.findLast(({ tenant }) => tenant === name)?.isIsolated ?? false;
  }

  /** Writes the configuration with all changes. */
  write(): void {
    this.version += 1;
    const tenants = [...this.keys].map(([name, keys]) => ({
      name,
      keys: [...keys],
      isIsolated: this.isIsolated(name),
      limit: this.limitChanges.findLast(({ tenant }) => tenant === name)?.limit,
    }));
    const timeouts = new Map(this.routeChanges.map(({ kind, timeoutMs }) => [kind, timeoutMs]));
    const configuration = simulationConfiguration(this.version, tenants, timeouts);
    this.operator.write(KINDS.configuration, 'main', configuration);
  }
}
