/** Mutations that make routers ignore engine notices. */
import { changeNotices } from './change-notices.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on engine notices must detect. */
export const ENGINE_NOTICE_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'shutdowns announced in responses are ignored',
    rule: 'leaving-engine-unused',
    mutation: { makeView: changeNotices((notice) => ({ ...notice, isLeaving: false })) },
  },
  {
    name: 'backoffs requested by engines are ignored',
    rule: 'backoff-kept',
    mutation: { makeView: changeNotices((notice) => ({ ...notice, backoffMs: undefined })) },
  },
];
