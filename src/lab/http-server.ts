/** Helpers for the HTTP servers of the fake outside systems. */
import Hapi from '@hapi/hapi';
import type { z } from 'zod';
import { HttpStatus } from '../protocol/http-status.js';
import { formatAddress, parseAddress } from '../transport/address.js';

const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

/** A running server of a fake system. */
export interface FakeServer {
  /** Bound `HOST:PORT`. */
  readonly address: string;
  stop(): Promise<void>;
}

/** Creates a hapi server for an address without starting it. */
export function createFakeServer(address: string): Hapi.Server {
  const { host, port } = parseAddress(address);
  const server = Hapi.server({
    host,
    port,
    compression: false,
    routes: { payload: { maxBytes: MAXIMUM_BODY_BYTES }, state: { parse: false } },
  });
  // Nagle's algorithm would delay the small writes of SSE events.
  server.listener.on('connection', (socket) => socket.setNoDelay(true));
  return server;
}

/** Starts a server and returns its bound address. */
export async function startFakeServer(server: Hapi.Server): Promise<FakeServer> {
  await server.start();
  return {
    address: formatAddress(String(server.settings.host), Number(server.info.port)),
    stop: () => server.stop({ timeout: 0 }),
  };
}

/** Response to a body that doesn't match the schema. */
export function malformedResponse(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
  return h.response({ error: 'malformed' }).code(HttpStatus.BadRequest);
}

/** Empty response to a successful call. */
export function emptyResponse(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
  return h.response().code(HttpStatus.NoContent);
}

/** Adds the route that sets the injected faults of a fake system. */
export function addFaultRoute<Schema extends z.ZodType>(
  server: Hapi.Server,
  schema: Schema,
  apply: (faults: z.infer<Schema>) => void,
): void {
  server.route({
    method: 'POST',
    path: '/lab/faults',
    handler: (request, h) => {
      const faults = schema.safeParse(request.payload);
      if (!faults.success) return malformedResponse(h);
      apply(faults.data);
      return emptyResponse(h);
    },
  });
}

/** Returns a query parameter as a number, or the fallback if it is missing or not finite. */
export function queryNumber(request: Hapi.Request, name: string, fallback: number): number {
  const value = Number((request.query as Record<string, unknown>)[name] ?? fallback);
  return Number.isFinite(value) ? value : fallback;
}
