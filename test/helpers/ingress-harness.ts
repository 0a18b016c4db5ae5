/** An ingress on a socket of the loopback interface whose router records the requests. */
import net from 'node:net';
import type { ExecutionContext } from 'ava';
import { Ingress } from '../../platform/ingress.js';
import type { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import type { MemoryBudget } from '../../src/coordination/gateway/memory-budget.js';
import type { InboundRequest, Reply } from '../../src/coordination/gateway/reply.js';
import { SystemClock } from '../../src/runtime/clock.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import type { IngressLimits } from '../../src/state/routing/configuration.js';

/** A request without a body. */
export const GET = 'GET /a/ HTTP/1.1\r\nHost: h.example:80\r\nX-Peatspan-Attempt-Id: 1\r\n\r\n';

/** Limits of an ingress that a test may change while it runs. */
export type ChangeableLimits = { -readonly [Name in keyof IngressLimits]: IngressLimits[Name] };

/** A running ingress and the requests that its router received. */
export interface IngressHarness {
  readonly ingress: Ingress;
  readonly port: number;
  readonly limits: ChangeableLimits;
  readonly requests: { request: InboundRequest; reply: Reply }[];
}

/** Starts an ingress with a node that records the requests; without `memory`, unbounded. */
export async function startIngress(
  t: ExecutionContext,
  memory?: MemoryBudget,
  onRequest: (reply: Reply) => void = () => undefined,
): Promise<IngressHarness> {
  const requests: IngressHarness['requests'] = [];
  const limits = {
    maximumHeaderBytes: 2_000,
    maximumBodyBytes: 100,
    headerTimeoutMs: 5_000,
    idleTimeoutMs: 600_000,
  };
  const node = {
    limits,
    memory,
    rejectionOfHead: () => undefined,
    handle: (request: InboundRequest, reply: Reply) => {
      requests.push({ request, reply });
      onRequest(reply);
    },
  } as unknown as GatewayNode;
  const ingress = new Ingress(node, new SystemClock(), new NoopLogger());
  const port = await ingress.listen('127.0.0.1:0');
  t.teardown(() => ingress.close());
  return { ingress, port, limits, requests };
}

/** A caller's connection and what it has received. */
export interface TestClient {
  readonly socket: net.Socket;
  readonly received: () => string;
  readonly closed: Promise<void>;
}

export function connect(port: number): TestClient {
  const socket = net.connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', (chunk) => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise<void>((resolve) => socket.on('close', () => resolve()));
  return { socket, received: () => text, closed };
}

export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}
