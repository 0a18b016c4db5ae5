/** Mutations on responses whose end only their connection shows. */
import { BodyFraming, type ExchangeListener } from '../src/protocol/inference/port.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Paths of streams begin so. */
const STREAM_PREFIX = '/stream/';

/** Lets the end of a connection count as the stated end, for streams or for all other responses. */
function statedEnds(ofStreams: boolean): GatewayMutation['mutation'] {
  return {
    makeView: () => (view) => ({
      ...view,
      engines: changePort(view.engines, {
        send: (endpoint, request, options, listener) => {
          const isStream = request.target.startsWith(STREAM_PREFIX);
          const changed = isStream === ofStreams ? withChunks(listener) : listener;
          return view.engines.send(endpoint, request, options, changed);
        },
      }),
    }),
  };
}

/** Mutations that the fuzz test on responses without a length must detect. */
export const RESPONSE_FRAMING_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'the end of a connection counts as the stated end of a stream',
    rule: 'stream-in-order',
    mutation: statedEnds(true),
  },
  {
    name: 'the end of a connection counts as the stated end of a plain response',
    rule: 'whole-answer',
    mutation: statedEnds(false),
  },
];

/** Passes on every head as that of a response in chunks. */
function withChunks(listener: ExchangeListener): ExchangeListener {
  return {
    onConnected: (connection) => listener.onConnected?.(connection),
    onNotice: (notice) => listener.onNotice(notice),
    onHead: (head) => listener.onHead({ ...head, framing: BodyFraming.Chunks }),
    onChunk: (chunk) => listener.onChunk(chunk),
    onEnd: () => listener.onEnd(),
    onFailure: (failure) => listener.onFailure(failure),
  };
}
