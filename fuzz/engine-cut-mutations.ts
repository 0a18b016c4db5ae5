/** Mutations on routers that reach engines through other routers. */
import type { ExchangeListener } from '../src/protocol/inference/port.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Mutations that the fuzz test on cuts from the engines must detect. */
export const ENGINE_CUT_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'no router forwards connections to engines',
    rule: 'served-while-cut',
    mutation: { settings: { forwardingAddress: undefined } },
  },
  {
    name: 'a forwarded connection that ends while a request runs counts as not sent',
    rule: 'at-most-once',
    mutation: {
      makeView: () => (view) => ({
        ...view,
        engines: changePort(view.engines, {
          send: (endpoint, request, options, listener) => {
            const seen = options.forwarder ? withoutDisconnects(listener) : listener;
            return view.engines.send(endpoint, request, options, seen);
          },
        }),
      }),
    },
  },
];

function withoutDisconnects(listener: ExchangeListener): ExchangeListener {
  return {
    onConnected: (connection) => listener.onConnected?.(connection),
    onNotice: (notice) => listener.onNotice(notice),
    onHead: (head) => listener.onHead(head),
    onChunk: (chunk) => listener.onChunk(chunk),
    onEnd: () => listener.onEnd(),
    onFailure: (failure) =>
      listener.onFailure(
        failure.kind === 'unknown' ? { kind: 'not-sent', reason: failure.reason } : failure,
      ),
  };
}
