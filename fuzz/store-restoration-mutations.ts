/** Mutations that make routers ignore that the store was restored. */
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on store restorations must detect. */
export const STORE_RESTORATION_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'the answers of a restored store are ordered by revision alone',
    rule: 'one-holder',
    mutation: { seesEras: false },
  },
  {
    name: 'a router that starts takes the lease of a restored store at once',
    rule: 'one-holder',
    mutation: { settings: { isFirstStart: true } },
  },
];
