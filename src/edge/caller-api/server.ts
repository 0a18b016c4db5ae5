/** The HTTP server of the caller API (docs/INTERFACES.md). */
import { HttpStatus } from '../../protocol/http-status.js';
import Hapi from '@hapi/hapi';
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import { formatAddress, parseAddress } from '../../transport/address.js';
import { errorBody, invalidRequest, notFound, respondError } from './api-error.js';
import { generationHandler } from './generation-handler.js';
import { readContext } from './request-context.js';
import { serviceHandler } from './service-handler.js';

const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
const MS_PER_SECOND = 1_000;

/** A running server. */
export interface CallerApi {
  /** Bound `HOST:PORT`. */
  readonly address: string;
  /** Stops accepting connections, waits for running requests up to the timeout, then closes. */
  stop(timeoutMs: number): Promise<void>;
}

/** Starts the caller API of an agent. */
export async function startCallerApi(agent: AgentNode, address: string): Promise<CallerApi> {
  const { host, port } = parseAddress(address);
  const server = Hapi.server({
    host,
    port,
    compression: false,
    routes: {
      payload: { maxBytes: MAXIMUM_BODY_BYTES, allow: ['application/json'] },
      state: { parse: false },
    },
  });
  server.listener.on('connection', (socket) => socket.setNoDelay(true));
  addRoutes(server, agent);
  formatFrameworkErrors(server);
  await server.start();
  return {
    address: formatAddress(host, Number(server.info.port)),
    stop: (timeoutMs) => server.stop({ timeout: timeoutMs }),
  };
}

function addRoutes(server: Hapi.Server, agent: AgentNode): void {
  server.route({
    method: 'POST',
    path: '/v1/chat/completions',
    handler: generationHandler(agent, 'chat'),
  });
  server.route({
    method: 'POST',
    path: '/v1/completions',
    handler: generationHandler(agent, 'text'),
  });
  server.route({
    method: 'POST',
    path: '/v1/services/{service}/{operation}',
    handler: serviceHandler(agent),
  });
  server.route({
    method: 'GET',
    path: '/v1/models',
    handler: (request, h) => {
      const contextResult = readContext(agent, request);
      if (contextResult.kind === 'refused') return respondError(h, contextResult.error, '');
      const models = agent.configuration.parametersOf(contextResult.context.tenant)?.models ?? {};
      const created = Math.floor(Date.now() / MS_PER_SECOND);
      const data = Object.keys(models).map((id) => ({
        id,
        object: 'model',
        created,
        owned_by: 'peatspan',
      }));
      return { object: 'list', data };
    },
  });
}

/** Formats errors raised by hapi (malformed JSON, body too large, no route) as API errors. */
function formatFrameworkErrors(server: Hapi.Server): void {
  server.ext('onPreResponse', (request, h) => {
    const { response } = request;
    if (!('isBoom' in response)) return h.continue;
    const { statusCode: status } = response.output;
    const message = response.message;
    if (status === HttpStatus.NotFound) {
      return respondError(h, notFound(`no such path: ${request.path}`), '');
    }
    if (status === HttpStatus.ContentTooLarge) {
      const error = { ...invalidRequest(`body over ${MAXIMUM_BODY_BYTES} bytes`), status };
      return respondError(h, error, '');
    }
    const error = { ...invalidRequest(message), status };
    return h.response(errorBody(error, '')).code(status);
  });
}
