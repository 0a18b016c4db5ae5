/** What the HTTP faces of all stand-ins share. */
import Hapi from '@hapi/hapi';
import type { z } from 'zod';
import { HttpStatus } from '../protocol/http-status.js';
import { formatAddress, parseAddress } from '../transport/address.js';

/** Largest request body a stand-in takes. */
const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

/** A running stand-in. */
export interface StandInServer {
  /** Bound `HOST:PORT`. */
  readonly address: string;
  stop(): Promise<void>;
}

/** A hapi server for an address, not yet started. */
export function createStandInServer(address: string): Hapi.Server {
  const { host, port } = parseAddress(address);
  const server = Hapi.server({
    host,
    port,
    compression: false,
    routes: { payload: { maxBytes: MAXIMUM_BODY_BYTES }, state: { parse: false } },
  });
  // Each SSE event is its own small write; waiting to fill a segment would delay tokens.
  server.listener.on('connection', (socket) => socket.setNoDelay(true));
  return server;
}

/** Starts a server and describes it. */
export async function startStandIn(server: Hapi.Server): Promise<StandInServer> {
  await server.start();
  return {
    address: formatAddress(String(server.settings.host), Number(server.info.port)),
    stop: () => server.stop({ timeout: 0 }),
  };
}

/** The answer to a body that does not follow the interface. */
export function malformed(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
  return h.response({ error: 'malformed' }).code(HttpStatus.BadRequest);
}

/** The answer to a call that is done and has nothing to tell. */
export function done(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
  return h.response().code(HttpStatus.NoContent);
}

/** Adds the route by which the laboratory sets the faults of a stand-in. */
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
      if (!faults.success) return malformed(h);
      apply(faults.data);
      return done(h);
    },
  });
}

/** A whole number from a query, or the default. */
export function queryNumber(request: Hapi.Request, name: string, fallback: number): number {
  const value = Number((request.query as Record<string, unknown>)[name] ?? fallback);
  return Number.isFinite(value) ? value : fallback;
}
