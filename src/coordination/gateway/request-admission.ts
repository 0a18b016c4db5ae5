/** Checks a request against the configuration in force: route, key, proof that both are current. */
import type { Route, Service, Tenant } from '../../state/routing/configuration.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { RouteTable } from '../../state/routing/route-table.js';
import type { GatewayContext } from './gateway-context.js';
import type { InboundRequest, OwnAnswer } from './reply.js';

/** What the configuration allows a request. */
export interface Grant {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined on public routes and where no keys are needed. */
  readonly tenant: Tenant | undefined;
  /** Priority of the tenant, or else of the route; 0 is the most urgent. */
  readonly priority: number;
}

/** Admitted, denied for good, or rejected for now. */
export type RequestAdmission =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'denied'; readonly answer: OwnAnswer }
  | { readonly kind: 'rejected'; readonly reason: RejectionReason; readonly priority: number };

/** Rank of a request whose route is not known yet. */
const UNKNOWN_PRIORITY = 0;

/** Checks a request; call again before each dispatch, since the configuration may have changed. */
export function admitRequest(request: InboundRequest, context: GatewayContext): RequestAdmission {
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

/** The service that takes the route's next request. */
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

function denied(answer: OwnAnswer): RequestAdmission {
  return { kind: 'denied', answer };
}
