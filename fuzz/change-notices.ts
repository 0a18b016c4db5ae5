/** Mutation helper that changes engine notices before a router receives them. */
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type { EngineNotice } from '../src/protocol/inference/port.js';
import { changePort } from './change-port.js';

/** Returns a view factory that applies a change to every engine notice. */
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
