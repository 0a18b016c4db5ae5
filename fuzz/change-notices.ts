/** A view of engines in which what they say of themselves is changed before a router takes it. */
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { EngineNotice } from '../src/protocol/inference/port.js';
import { changePort } from './change-port.js';

/** Changes each notice before a router takes it. */
export function changeNotices(
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
