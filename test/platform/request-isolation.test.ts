/**
 * Guards against an exception in one request's handler that ends the router: only that request may end,
 * and it must leave nothing behind.
 */
import test, { type ExecutionContext } from 'ava';
import type { Reply } from '../../src/coordination/gateway/reply.js';
import { inboundRequest } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { framedResponse, receive, startScriptedEngine } from '../helpers/scripted-engine.js';
import { type SocketRouter, startRouter, waitUntil } from '../helpers/socket-router.js';
import { RequestBody } from '../../src/runtime/request-body.js';

const PATH = '/stream/stream-resumable/x';
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const THROWN = new TypeError('thrown by the test');

/** A reply that throws in one of its methods, and the methods called after it. */
class ThrowingReply implements Reply {
  readonly calledAfter: string[] = [];
  private hasThrown = false;

  constructor(private readonly method: keyof Reply) {}

  begin(): void {
    this.note('begin');
  }

  write(): boolean {
    this.note('write');
    return true;
  }

  end(): void {
    this.note('end');
  }

  refuse(): void {
    this.note('refuse');
  }

  abort(): void {
    this.note('abort');
  }

  onClose(): void {
    this.note('onClose');
  }

  onDrain(): void {
    this.note('onDrain');
  }

  get heldBytes(): number {
    this.note('heldBytes');
    return 0;
  }

  onTaken(): void {}

  private note(method: keyof Reply): void {
    if (this.hasThrown) this.calledAfter.push(method);
    if (this.hasThrown || method !== this.method) return;
    this.hasThrown = true;
    throw THROWN;
  }
}

async function startServed(t: ExecutionContext): Promise<SocketRouter> {
  const engine = await startScriptedEngine(t, (request) => {
    request.socket.write(framedResponse(request, 'chunks', EVENTS));
  });
  return startRouter(t, [engine.address], {});
}

/** Serves a request whose reply throws; resolves with the reply once the request has ended. */
async function serveThrowing(
  router: SocketRouter,
  method: keyof Reply,
  key = 'key-1',
): Promise<ThrowingReply> {
  const reply = new ThrowingReply(method);
  const request = inboundRequest(`by-${method}`, 'stream-resumable', key, performance.now());
  const headers = [['X-Peatspan-Attempt-Id', request.id]] as const;
  router.node.handle({ ...request, headers, body: RequestBody.empty }, reply);
  await waitUntil(() => router.node.runningCalls === 0);
  return reply;
}

test('an exception in the handler of one request ends that request only', async (t) => {
  const router = await startServed(t);
  for (const method of ['begin', 'write', 'end', 'onClose', 'onDrain', 'heldBytes'] as const) {
    await serveThrowing(router, method);
    const failures = router.events.filter(({ event }) => event === 'request_step_failed');
    const isReported = failures.some(({ fields }) => fields.request === `by-${method}`);
    t.true(isReported, method);
    const response = await receive(t, router.port, { id: `after-${method}`, path: PATH });
    t.is(response.status, 200, method);
  }
});

test('a caller whose response has begun sees that it ended, another gets 500', async (t) => {
  const router = await startServed(t);
  t.is((await serveThrowing(router, 'write')).calledAfter[0], 'abort');
  t.is((await serveThrowing(router, 'begin')).calledAfter[0], 'refuse');
  t.is((await serveThrowing(router, 'onClose')).calledAfter[0], 'refuse');
});

test('an exception while a request is rejected leaves no request behind', async (t) => {
  const router = await startServed(t);
  await serveThrowing(router, 'refuse', 'unknown-key');
  t.is(router.node.runningCalls, 0);
  const [failure] = router.events.filter(({ event }) => event === 'request_step_failed');
  t.deepEqual(
    [failure?.fields.step, failure?.fields.reason],
    ['arrival', 'TypeError: thrown by the test'],
  );
});
