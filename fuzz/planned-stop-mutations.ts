/** Mutations on routers that begin requests that they can't finish before they end. */
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on planned stops must detect. */
export const PLANNED_STOP_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'a stopping router begins whatever arrives',
    rule: 'served-at-stop',
    mutation: { shutdown: () => ({ acceptUntilMs: Infinity, endMs: Infinity }) },
  },
  {
    name: 'a stopping router counts its times from the notice of its signal',
    rule: 'served-at-stop',
    mutation: {
      shutdown: ({ acceptUntilMs, endMs }, delayMs) => ({
        acceptUntilMs: acceptUntilMs + delayMs,
        endMs: endMs + delayMs,
      }),
    },
  },
];
