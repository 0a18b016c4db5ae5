/** Routers that take a restored store for one that never went back, which the fuzz on restorations must then find. */
import type { GatewayMutation } from './gateway-mutations.js';

/** The list. */
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
