/** Mutations on routers that tell what crashes engines from what was in progress as they failed together. */
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on engines that fail together must detect. */
export const CRASHES_TOGETHER_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'one crash quarantines all requests in progress for good',
    rule: 'sound-denied',
    mutation: {
      settings: {
        requestQuarantine: {
          crashes: 1,
          mergedWithinMs: 0,
          unprovenWithinMs: 0,
          hasSingleCause: false,
          hasTrials: false,
        },
      },
    },
  },
  {
    name: 'crashes within seconds count as one, and no trial is made',
    rule: 'crashes-bounded',
    mutation: {
      settings: {
        requestQuarantine: {
          crashes: 3,
          mergedWithinMs: 2_000,
          unprovenWithinMs: 0,
          hasSingleCause: false,
          hasTrials: false,
        },
      },
    },
  },
];
