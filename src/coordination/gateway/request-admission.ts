/**
 * Checks a request against the current configuration: its route, its API key, and that the
 * configuration is proven current.
 */
import type { Route, Service, Tenant } from '../../state/routing/configuration.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { RouteTable } from '../../state/routing/route-table.js';
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead, RouterResponse } from './reply.js';

/** What the configuration grants to a request. */
export interface Grant {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined on public routes and if no API keys are required. */
  readonly tenant: Tenant | undefined;
  /** Priority of the tenant, otherwise of the route; 0 is the most urgent. */
  readonly priority: number;
}

/** Granted, denied permanently, or rejected with a retry delay. */
export type RequestAdmission =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'denied'; readonly response: RouterResponse }
  | { readonly kind: 'rejected'; readonly reason: RejectionReason; readonly priority: number };

/** Priority of a request that was not matched to a route. */
const UNKNOWN_PRIORITY = 0;

/** Checks a request. Called before each dispatch, since the configuration may change in between. */
export function admitRequest(request: RequestHead, context: GatewayContext): RequestAdmission {
  const table = context.configuration.current;
  if (!table) {
    return rejected(RejectionReason.NoConfiguration, UNKNOWN_PRIORITY);
  }
  const route = table.findRoute(request.host, request.path);
  if (!route) return denied({ status: 404, reason: 'no-route' });
  if (route.isPublic || !table.needsKeys) {
    return granted({ table, route, tenant: undefined, priority: route.priority });
  }
  if (!context.configuration.isProven(context.clock.elapsed())) {
    context.statistics.staleProofRefusals += 1;
    return rejected(RejectionReason.ConfigurationUnproven, route.priority);
  }
  const tenant = request.apiKey === undefined ? undefined : table.findTenant(request.apiKey);
  if (!tenant) return denied({ status: 401, reason: 'unknown-key' });
  return granted({ table, route, tenant, priority: tenant.priority ?? route.priority });
}

/** Selects the service for the next request of the route. */
export function serviceOf(grant: Grant, context: GatewayContext): Service | undefined {
  const name = context.split.next(grant.route);
  return name === undefined ? undefined : grant.table.findService(name);
}

function granted(grant: Grant): RequestAdmission {
  return { kind: 'granted', grant };
}

function rejected(reason: RejectionReason, priority: number): RequestAdmission {
  return { kind: 'rejected', reason, priority };
}

function denied(response: RouterResponse): RequestAdmission {
  return { kind: 'denied', response };
}
