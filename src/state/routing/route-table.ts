/** Looks up routes by host and path, and tenants by key or name. */
import { CacheNamespaces } from './cache-namespace.js';
import type { Route, RoutingConfiguration, Service, Tenant } from './configuration.js';

/** Index of one {@link RoutingConfiguration}. */
export class RouteTable {
  readonly cacheNamespaces: CacheNamespaces;
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly tenantsByKey = new Map<string, Tenant>();
  private readonly tenantsByName = new Map<string, Tenant>();
  private readonly servicesByName = new Map<string, Service>();
  private readonly gapObjectivesMs = new Map<string, number>();

  constructor(readonly configuration: RoutingConfiguration) {
    this.cacheNamespaces = new CacheNamespaces(configuration.tenants ?? []);
    for (const route of configuration.routes) {
      this.indexRoute(route);
      this.indexGapObjective(route);
    }
    for (const tenant of configuration.tenants ?? []) {
      this.tenantsByName.set(tenant.name, tenant);
      for (const key of tenant.keys) this.tenantsByKey.set(key, tenant);
    }
    for (const service of configuration.services) this.servicesByName.set(service.name, service);
  }

  get needsKeys(): boolean {
    return this.configuration.tenants !== undefined;
  }

  get cacheStores(): Service[] {
    return this.configuration.services.filter((service) => service.cacheStore);
  }

  /** Returns the route with the longest matching prefix. The path has no query. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host);
    if (!routes) return undefined;
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = routes.get(path.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  findTenant(key: string): Tenant | undefined {
    return this.tenantsByKey.get(key);
  }

  findTenantByName(name: string): Tenant | undefined {
    return this.tenantsByName.get(name);
  }

  findService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  /** Strictest gap objective of the routes to a service; undefined if none sets one. */
  gapObjectiveMsOf(service: string): number | undefined {
    return this.gapObjectivesMs.get(service);
  }

  /** Whether any route sets a gap objective. */
  get hasGapObjectives(): boolean {
    return this.gapObjectivesMs.size > 0;
  }

  private indexGapObjective({ gapObjectiveMs, targets }: Route): void {
    if (gapObjectiveMs === undefined) return;
    for (const { service } of targets) {
      const strictestMs = this.gapObjectivesMs.get(service) ?? Infinity;
      this.gapObjectivesMs.set(service, Math.min(strictestMs, gapObjectiveMs));
    }
  }

  private indexRoute(route: Route): void {
    let routes = this.routesByHost.get(route.host);
    if (!routes) {
      routes = new Map();
      this.routesByHost.set(route.host, routes);
    }
    routes.set(route.pathPrefix, route);
  }
}
