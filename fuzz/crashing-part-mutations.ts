/** Mutations on routers that protect engines from prompt parts that crash them. */
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on crashing parts must detect. */
export const CRASHING_PART_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'prompt parts that crash engines are never quarantined',
    rule: 'crashes-bounded',
    mutation: {
      settings: {
        partQuarantine: {
          crashes: Infinity,
          mergedWithinMs: 0,
          hasSingleCause: true,
          unprovenWithinMs: 0,
          hasTrials: false,
        },
      },
    },
  },
];
