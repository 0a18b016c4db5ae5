/**
 * Guards against responses of engines that end the router: each single bit of a response is flipped in
 * turn, on direct connections and on those that another router forwards.
 */
import { type Server, createServer, request as httpRequest } from 'node:http';
import net, { type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { HttpReply } from '../../platform/http-reply.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';
import { withFlippedBits } from '../helpers/flipped-bits.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';
import { startScriptedEngine, framedResponse } from '../helpers/scripted-engine.js';
import { startRouter } from '../helpers/socket-router.js';

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const PARALLEL = 64;
/** A spoiled response may never end. */
const SPOILED_TIMEOUT_MS = 300;
const SOUND_TIMEOUT_MS = 10_000;

async function runAll(count: number, run: (index: number) => Promise<void>): Promise<void> {
  let next = 0;
  const runNext = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      await run(next - 1);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL }, runNext));
}

/** Sends a request to the router; resolves when its response or its connection has ended. */
function call(
  port: number,
  path: string,
  id: string,
  timeoutMs: number,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const headers = { 'X-Peatspan-Attempt-Id': id, 'Api-Key': 'key-1', Host: 'host.example' };
    const options = { port, host: '127.0.0.1', method: 'POST', path, headers, agent: false };
    const request = httpRequest(options, (response) => {
      response.on('error', () => undefined);
      response.on('close', () => resolve(response.statusCode));
      response.resume();
    });
    request.setTimeout(timeoutMs, () => request.destroy());
    request.on('error', () => resolve(undefined));
    request.end();
  });
}

for (const path of ['/stream/stream-resumable/x', '/plain/plain-safe/x']) {
  for (const framing of ['length', 'chunks', 'connection'] as const) {
    test.serial(
      `no flipped bit of a response to ${path} by ${framing} ends the router`,
      async (t) => {
        const template = {
          id: 'request-0000',
          path,
          lastEventId: undefined,
          socket: new net.Socket(),
        };
        const responses = withFlippedBits(Buffer.from(framedResponse(template, framing, EVENTS)));
        const served = new Set<string>();
        const engine = await startScriptedEngine(t, (request) => {
          const { id, socket } = request;
          const isRepeated = served.has(id);
          served.add(id);
          const spoiled = responses[Number(id.split('-')[1])]?.toString('latin1');
          const sound = framedResponse(request, framing, EVENTS);
          const response = isRepeated ? sound : spoiled?.replace('request-0000', id);
          socket.end(Buffer.from(response ?? sound, 'latin1'));
        });
        const router = await startRouter(t, [engine.address], {});
        await runAll(responses.length, async (index) => {
          await call(router.port, path, `request-${index}`, SPOILED_TIMEOUT_MS);
        });
        t.is(await call(router.port, path, 'request-x', SOUND_TIMEOUT_MS), 200);
        const failed = router.events.filter(({ event }) => event === 'request_step_failed');
        t.deepEqual(failed, []);
      },
    );
  }
}

/** A server whose reply to each request is the response of one exchange over a forwarding router. */
async function startRelay(t: ExecutionContext, engine: string): Promise<number> {
  const listener = await new TcpForwarding().listen('127.0.0.1:0', {
    decide: () => ForwardingDecision.Accepted,
    onConnected: () => undefined,
  });
  t.teardown(() => listener.close());
  const client = new EngineClient();
  const forwarder = { address: listener.address, keepsDirectConnections: false };
  const server: Server = createServer((request, response) => {
    const reply = new HttpReply(response);
    const headers = [['X-Peatspan-Attempt-Id', 'request-1']] as const;
    const target = request.url ?? '/';
    const endpoint = { id: 'engine-1', name: 'engine-1', address: engine };
    client.send(
      endpoint,
      { ...REQUEST, target, headers },
      { ...SEND_OPTIONS, forwarder },
      {
        onNotice: () => undefined,
        onHead: (head) => reply.begin(head.status, head.headers, { kind: BodyFraming.Chunks }),
        onChunk: (chunk) => reply.write(chunk),
        onEnd: () => reply.end(),
        onFailure: () => response.destroy(),
      },
    );
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

test.serial(
  'no flipped bit of a response that another router forwards ends this router',
  async (t) => {
    const sound = `${RESPONSE_HEAD}Content-Length: 5\r\n\r\nhello`;
    const responses = withFlippedBits(Buffer.from(sound));
    const engine = await startScriptedEngine(t, ({ path, socket }) => {
      socket.end(responses[Number(path.slice(1))] ?? Buffer.from(sound));
    });
    const port = await startRelay(t, engine.address);
    await runAll(responses.length, async (index) => {
      await call(port, `/${index}`, 'request-1', SPOILED_TIMEOUT_MS);
    });
    t.is(await call(port, '/sound', 'request-1', SOUND_TIMEOUT_MS), 200);
  },
);
