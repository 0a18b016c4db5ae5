/** HTTP server of the fake plain back end (docs/INTERFACES.md, "Plain back end"). */
import { HttpStatus } from '../../protocol/http-status.js';
import { z } from 'zod';
import {
  type FakeServer,
  createFakeServer,
  malformedResponse,
  startFakeServer,
} from '../http-server.js';
import type { BackendCore } from './backend-core.js';

const OPERATION_TIMEOUT_MS = 60_000;

const invocationSchema = z.object({
  request_id: z.string().min(1),
  tenant: z.string(),
  arguments: z.unknown(),
});

/** Starts the HTTP server of a fake back end. */
export function startBackendServer(core: BackendCore, address: string): Promise<FakeServer> {
  const server = createFakeServer(address);
  server.route({
    method: 'POST',
    path: '/v1/{service}/{operation}',
    handler: async (request, h) => {
      const body = invocationSchema.safeParse(request.payload);
      if (!body.success) return malformedResponse(h);
      const result = await core.run({
        requestId: body.data.request_id,
        tenant: body.data.tenant,
        service: String(request.params.service),
        operation: String(request.params.operation),
        payload: new Uint8Array(),
        timeoutMs: OPERATION_TIMEOUT_MS,
      });
      if (result.kind === 'refused') {
        return h.response({ not_run: true, reason: result.reason }).code(HttpStatus.Unavailable);
      }
      if (result.kind === 'lost') {
        request.raw.req.socket.destroy();
        return h.abandon;
      }
      const text = Buffer.from(result.answer.body).toString('utf8');
      return h.response(text).type('application/json').code(result.answer.status);
    },
  });
  server.route({
    method: 'GET',
    path: '/v1/requests/{id}',
    handler: (request) => {
      const lookup = core.lookup(String(request.params.id));
      if (lookup.kind === 'fenced') return { state: lookup.kind, first: lookup.first };
      if (lookup.kind !== 'answered') return { state: lookup.kind };
      const body = JSON.parse(Buffer.from(lookup.answer.body).toString('utf8')) as unknown;
      return { state: 'answered', status: lookup.answer.status, body };
    },
  });
  return startFakeServer(server);
}
