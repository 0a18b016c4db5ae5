/** Mutations on routers that keep the cached prompts of isolated tenants apart. */
import { type GatewayMutation, changeConfiguration } from './gateway-mutations.js';
import { ISOLATED_TENANT } from '../src/lab/gateway-simulation/simulation-fixtures.js';

/** Mutations that the fuzz test on changes of isolation must detect. */
export const ISOLATION_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'tenants stay as isolated as they were at first',
    rule: 'own-salt',
    mutation: changeConfiguration((configuration) => ({
      ...configuration,
      tenants: configuration.tenants?.map((tenant) => ({
        ...tenant,
        isIsolated: tenant.name === ISOLATED_TENANT,
      })),
    })),
  },
  {
    name: 'no tenant is isolated',
    rule: 'isolated-memory',
    mutation: changeConfiguration((configuration) => ({
      ...configuration,
      tenants: configuration.tenants?.map((tenant) => ({ ...tenant, isIsolated: false })),
    })),
  },
];
