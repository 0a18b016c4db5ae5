/** Routers that do not take what engines say of themselves, which the fuzz on notices must then find. */
import type { RouterView } from '../src/lab/gateway-world/world-mutation.js';
import type { EngineNotice } from '../src/protocol/inference/port.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Changes each notice before a router takes it. */
function changeNotices(
  change: (notice: EngineNotice) => EngineNotice,
): () => (view: RouterView) => RouterView {
  return () =>
    ({ engines, decoder }) => ({
      engines: changePort(engines, {
        send: (endpoint, request, options, listener) =>
          engines.send(endpoint, request, options, {
            onNotice: (notice) => listener.onNotice(change(notice)),
            onHead: (head) => listener.onHead(head),
            onChunk: (chunk) => listener.onChunk(chunk),
            onEnd: () => listener.onEnd(),
            onFailure: (failure) => listener.onFailure(failure),
          }),
      }),
      decoder,
    });
}

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
