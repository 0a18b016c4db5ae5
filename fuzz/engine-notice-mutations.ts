/** Routers that do not take what engines say of themselves, which the fuzz on notices must then find. */
import { changeNotices } from './change-notices.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** The list. */
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
