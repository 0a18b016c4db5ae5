/** A router with real callers and engines over sockets of the loopback interface. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { Ingress } from '../../platform/ingress.js';
import { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import type { GatewaySettings } from '../../src/coordination/gateway/gateway-settings.js';
import { SimulatedObjectStore } from '../../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../../src/lab/gateway-simulation/simulated-store-port.js';
import {
  DECODER,
  KINDS,
  PLAIN_SERVICE,
  simulationConfiguration,
  simulationSettings,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import type { InferencePort } from '../../src/protocol/inference/port.js';
import { type Clock, SystemClock } from '../../src/runtime/clock.js';
import { createHasher } from '../../src/runtime/hasher.js';
import type { LogFields, Logger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';

const REQUEST_TIMEOUT_MS = 30_000;
/** Engines of the test write no heartbeats. */
const ENTRY_LIFETIME_MS = 600_000;
const POLL_MS = 5;
const MAXIMUM_POLLS = 4_000;
const BODY_LIMIT = 4_194_304;

/** Path of a route whose responses are passed on as they arrive. */
export const STREAM_PATH = '/stream/stream-once/x';

/** An event that a router logged. */
export interface LoggedEvent {
  readonly event: string;
  readonly fields: LogFields;
}

/** A running router. */
export interface SocketRouter {
  readonly node: GatewayNode;
  readonly ingress: Ingress;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly port: number;
  readonly events: readonly LoggedEvent[];
}

/**
 * Starts a router in front of the engines, HOST:PORT each.
 *
 * @param client connects the router to its engines
 * @param objectiveMs objective of all routes; by default that of the simulated deployment
 */
export async function startRouter(
  t: ExecutionContext,
  engines: readonly string[],
  settings: Partial<GatewaySettings>,
  client: InferencePort = new EngineClient(),
  objectiveMs?: number,
): Promise<SocketRouter> {
  const clock = new SystemClock();
  const store = new SimulatedObjectStore(clock);
  store.put(KINDS.configuration, 'main', configuration(objectiveMs));
  for (const [index, address] of engines.entries()) {
    const name = `engine-${index}`;
    const entry = { name, address, service: PLAIN_SERVICE, zone: 'zone-a', slots: 1_000 };
    store.put(KINDS.engines, name, { ...entry, isDraining: false, modelVersions: [] });
  }
  const host = new HostClock(clock);
  const events: LoggedEvent[] = [];
  const node = await GatewayNode.open(
    { ...simulationSettings('router-0'), entryLifetimeMs: ENTRY_LIFETIME_MS, ...settings },
    {
      clock,
      random: new SeededRandom(5),
      hasher: await createHasher(),
      logger: recordingLogger(events),
      datagrams: {
        bind: (address) =>
          Promise.resolve({ address, send: () => undefined, close: () => undefined }),
      },
      frames: {
        listen: (address) => Promise.resolve({ address, close: () => undefined }),
        connect: () => Promise.reject(new Error('no other routers')),
      },
      store: new SimulatedStorePort(store, 'router-0', host),
      engines: client,
      forwarding: {
        listen: (address) =>
          Promise.resolve({ address, openConnections: 0, close: () => undefined }),
      },
      decoder: DECODER,
    },
  );
  const logger = recordingLogger(events);
  const ingress = new Ingress(node, clock, logger);
  node.start();
  const port = await ingress.listen('127.0.0.1:0');
  t.teardown(() => {
    node.stop();
    ingress.close();
  });
  await waitUntil(() => node.isReady);
  return { node, ingress, clock, logger, port, events };
}

function configuration(objectiveMs?: number): ReturnType<typeof simulationConfiguration> {
  const base = simulationConfiguration(1, [{ name: 'tenant-1', keys: ['key-1'] }]);
  const targets = [{ service: PLAIN_SERVICE, weight: 1 }];
  return {
    ...base,
    routes: base.routes.map((route) => ({
      ...route,
      targets,
      timeoutMs: REQUEST_TIMEOUT_MS,
      objectiveMs: objectiveMs ?? route.objectiveMs,
    })),
    services: base.services.map((service) => ({ ...service, maximumConnections: 10_000 })),
    limits: { ...base.limits, maximumBodyBytes: BODY_LIMIT },
  };
}

function recordingLogger(events: LoggedEvent[]): Logger {
  const record = (event: string, fields: LogFields = {}): void => {
    events.push({ event, fields });
  };
  return { debug: record, info: record, warn: record, error: record };
}

/** Starts an engine that attests its responses. Returns HOST:PORT. */
export async function startEngine(
  t: ExecutionContext,
  respond: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
  const server = createServer((request, response) => {
    response.setHeader('X-Peatspan-Attempt-Id', request.headers['x-peatspan-attempt-id'] ?? '');
    response.setHeader('X-Peatspan-Response-Seal', 'seal');
    respond(request, response);
  });
  return listen(t, server);
}

/** Starts an engine that accepts connections and reads nothing until its sockets are resumed. */
export async function startUnreadingEngine(
  t: ExecutionContext,
): Promise<{ address: string; sockets: net.Socket[] }> {
  const sockets: net.Socket[] = [];
  const server = net.createServer({ pauseOnConnect: true }, (socket) => {
    socket.on('error', () => undefined);
    sockets.push(socket);
  });
  t.teardown(() => sockets.forEach((socket) => socket.destroy()));
  return { address: await listen(t, server), sockets };
}

async function listen(t: ExecutionContext, server: Server | net.Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    if ('closeAllConnections' in server) server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A caller on a connection of its own. */
export interface SocketCaller {
  readonly socket: net.Socket;
  receivedBytes: number;
  /** The last bytes received. */
  tail: string;
  isClosed: boolean;
}

const TAIL_LENGTH = 2_000;
/** End of a response that is complete. */
const LAST_CHUNK = '0\r\n\r\n';

/** Sends a request, with a body of the given length, on a new connection. */
export function call(
  t: ExecutionContext,
  port: number,
  id: string,
  body = 0,
  path = STREAM_PATH,
): SocketCaller {
  const socket = net.connect(port, '127.0.0.1');
  const caller: SocketCaller = { socket, receivedBytes: 0, tail: '', isClosed: false };
  socket.on('data', (chunk) => {
    caller.receivedBytes += chunk.length;
    caller.tail = (caller.tail + chunk.subarray(-TAIL_LENGTH).toString('latin1')).slice(
      -TAIL_LENGTH,
    );
  });
  socket.on('error', () => undefined);
  socket.on('close', () => (caller.isClosed = true));
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: ${id}\r\n` +
      `Api-Key: key-1\r\nContent-Length: ${body}\r\n\r\n`,
  );
  if (body > 0) socket.write(Buffer.alloc(body));
  t.teardown(() => socket.destroy());
  return caller;
}

/** Whether the caller received a response that looks complete. */
export function isComplete({ tail }: SocketCaller): boolean {
  return tail.endsWith(LAST_CHUNK);
}

/** Polls until the condition holds; throws if it does not within the polls of about 20 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls === MAXIMUM_POLLS) throw new Error(`not reached: ${condition.toString()}`);
    await wait(POLL_MS);
  }
}

export function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
