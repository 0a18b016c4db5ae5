/** Mutations that make routers ignore engine notices. */
import { changeNotices } from './change-notices.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on engine notices must detect. */
export const ENGINE_NOTICE_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'only the store tells which engines leave',
    rule: 'leaving-engine-unused',
    mutation: { makeView: changeNotices((notice) => ({ ...notice, isLeaving: false })) },
  },
  {
    name: 'pauses that engines ask for are passed over',
    rule: 'backoff-kept',
    mutation: { makeView: changeNotices((notice) => ({ ...notice, backoffMs: undefined })) },
  },
];
