/** Mutations that make routers exceed engine limits. */
import { ROUTERS } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { changeNotices } from './change-notices.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on engine limits must detect. */
export const ENGINE_LIMIT_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'limits that engines name are passed over',
    rule: 'limit-kept',
    mutation: { makeView: changeNotices((notice) => ({ ...notice, limitPerSecond: undefined })) },
  },
  {
    name: 'each router takes the whole of a limit for itself',
    rule: 'limit-kept',
    mutation: {
      makeView: changeNotices(({ limitPerSecond, ...notice }) => ({
        ...notice,
        limitPerSecond: limitPerSecond === undefined ? undefined : limitPerSecond * ROUTERS,
      })),
    },
  },
];
