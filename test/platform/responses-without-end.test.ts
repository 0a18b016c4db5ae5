/**
 * Guards against exchanges that read a response without end until their deadline, directly and
 * through a forwarder.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type { ExchangeFailure } from '../../src/protocol/inference/port.js';
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';
import {
  type EndlessPeer,
  type EndlessResponse,
  holdsWithin,
  peakBufferGrowth,
  startEndlessPeer,
} from '../helpers/endless-peer.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';

const OUTCOME_TIMEOUT_MS = 1_500;
const CLOSE_TIMEOUT_MS = 1_500;
/** The limit, and what the kernel buffers on both sides of up to two connections. */
const MAXIMUM_SENT_BYTES = 33_554_432;
/** What was read and is not collected yet counts, on each hop. */
const MAXIMUM_GROWTH_BYTES = 33_554_432;

const CHUNKED = `${RESPONSE_HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const REJECTION =
  'HTTP/1.1 503 Full\r\nX-Peatspan-Attempt-Id: request-1\r\nX-Peatspan-Not-Executed: 1\r\n';

interface EndlessCase {
  readonly title: string;
  readonly response: EndlessResponse;
  readonly expected: ExchangeFailure['kind'];
}

const CASES: readonly EndlessCase[] = [
  {
    title: 'interim responses',
    response: { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
    expected: 'unknown',
  },
  {
    title: 'empty lines before the head',
    response: { start: '', repeated: '\r\n' },
    expected: 'unknown',
  },
  {
    title: 'a head',
    response: { start: RESPONSE_HEAD, repeated: 'A: b\r\n' },
    expected: 'unknown',
  },
  {
    title: 'the size of the first chunk',
    response: { start: CHUNKED, repeated: '0' },
    expected: 'cut',
  },
  {
    title: 'the size of a later chunk',
    response: { start: `${CHUNKED}5\r\nhello\r\n`, repeated: '0' },
    expected: 'cut',
  },
  {
    title: 'trailers',
    response: { start: `${CHUNKED}5\r\nhello\r\n0\r\n`, repeated: 'A: b\r\n' },
    expected: 'cut',
  },
  {
    title: 'a rejection without a length',
    response: { start: `${REJECTION}\r\n`, repeated: 'x' },
    expected: 'refused',
  },
  {
    title: 'a rejection in chunks',
    response: { start: `${REJECTION}Transfer-Encoding: chunked\r\n\r\n`, repeated: '1\r\nx\r\n' },
    expected: 'refused',
  },
  {
    title: 'a rejection with a length',
    response: { start: `${REJECTION}Content-Length: 1000000000000\r\n\r\n`, repeated: 'x' },
    expected: 'refused',
  },
];

/** How an exchange ended, or that it has not ended in time. */
type Outcome = ExchangeFailure | 'whole' | 'pending';

function outcomeOf(
  { address }: Pick<EndlessPeer, 'address'>,
  forwarder?: string,
  client = new EngineClient(),
): Promise<Outcome> {
  const options = forwarder
    ? { ...SEND_OPTIONS, forwarder: { address: forwarder, keepsDirectConnections: false } }
    : SEND_OPTIONS;
  return new Promise((resolve) => {
    const endpoint = { id: 'engine-1', name: 'engine-1', address };
    client.send(endpoint, REQUEST, options, {
      onNotice: () => undefined,
      onHead: () => undefined,
      onChunk: () => undefined,
      onEnd: () => resolve('whole'),
      onFailure: resolve,
    });
    setTimeout(() => resolve('pending'), OUTCOME_TIMEOUT_MS);
  });
}

function kindOf(outcome: Outcome): string {
  return typeof outcome === 'string' ? outcome : outcome.kind;
}

/** Returns HOST:PORT. */
async function listen(t: ExecutionContext, server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Starts a forwarder; returns HOST:PORT. */
async function startForwarder(t: ExecutionContext): Promise<string> {
  const listener = await new TcpForwarding().listen('127.0.0.1:0', {
    decide: () => ForwardingDecision.Accepted,
    onConnected: () => undefined,
  });
  t.teardown(() => listener.close());
  return listener.address;
}

for (const isForwarded of [false, true]) {
  const path = isForwarded ? 'through a forwarder' : 'directly';
  for (const { title, response, expected } of CASES) {
    test.serial(`a response without end is given up ${path}: ${title}`, async (t) => {
      const peer = await startEndlessPeer(t, response);
      const forwarder = isForwarded ? await startForwarder(t) : undefined;
      let outcome: Outcome = 'pending';
      const startedMs = Date.now();
      const growth = await peakBufferGrowth(async () => {
        outcome = await outcomeOf(peer, forwarder);
        await holdsWithin(() => peer.openConnections === 0, CLOSE_TIMEOUT_MS);
      });
      t.log(`${Date.now() - startedMs} ms; sent ${peer.sentBytes}; growth ${growth}`);
      t.log(outcome);
      t.is(kindOf(outcome), expected);
      t.false(typeof outcome === 'object' && 'isDisconnect' in outcome);
      t.is(peer.openConnections, 0);
      t.true(peer.sentBytes < MAXIMUM_SENT_BYTES, `sent ${peer.sentBytes}`);
      t.true(growth < MAXIMUM_GROWTH_BYTES, `memory grew by ${growth}`);
    });
  }
}

for (const isForwarded of [false, true]) {
  const path = isForwarded ? 'through a forwarder' : 'directly';
  test.serial(
    `bytes without end after a whole response close its connection ${path}`,
    async (t) => {
      const start = `${RESPONSE_HEAD}Content-Length: 5\r\n\r\nhello`;
      const peer = await startEndlessPeer(t, { start, repeated: 'x' });
      const forwarder = isForwarded ? await startForwarder(t) : undefined;
      t.is(await outcomeOf(peer, forwarder), 'whole');
      t.true(await holdsWithin(() => peer.openConnections === 0, CLOSE_TIMEOUT_MS));
      t.true(peer.sentBytes < MAXIMUM_SENT_BYTES, `sent ${peer.sentBytes}`);
    },
  );
}

test.serial(
  'the connection of a rejection whose body does not end is closed after a while',
  async (t) => {
    const peer = await startEndlessPeer(t, { start: `${REJECTION}\r\nbody`, repeated: '' });
    t.is(kindOf(await outcomeOf(peer)), 'refused');
    t.true(await holdsWithin(() => peer.openConnections === 0, CLOSE_TIMEOUT_MS));
  },
);

test.serial('the connection of a rejection with a short body is kept', async (t) => {
  const REQUESTS = 3;
  const PAUSE_MS = 50;
  let connections = 0;
  const server = net.createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(`${REJECTION}Content-Length: 4\r\n\r\nfull`));
  });
  const client = new EngineClient();
  const address = await listen(t, server);
  for (let request = 0; request < REQUESTS; request += 1) {
    t.is(kindOf(await outcomeOf({ address }, undefined, client)), 'refused');
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  }
  t.is(connections, 1);
});

test.serial('a response in chunks of one byte that is not read on is not given up', async (t) => {
  const CHUNKS = 200_000;
  const PAUSE_MS = 300;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(`${CHUNKED}${'1\r\nx\r\n'.repeat(CHUNKS)}0\r\n\r\n`));
  });
  const endpoint = { id: 'engine-1', name: 'engine-1', address: await listen(t, server) };
  let receivedBytes = 0;
  const outcome = await new Promise<Outcome>((resolve) => {
    const exchange = new EngineClient().send(endpoint, REQUEST, SEND_OPTIONS, {
      onNotice: () => undefined,
      onHead: () => {
        exchange.pause();
        setTimeout(() => exchange.resume(), PAUSE_MS);
      },
      onChunk: (chunk) => (receivedBytes += chunk.length),
      onEnd: () => resolve('whole'),
      onFailure: resolve,
    });
  });
  t.is(outcome, 'whole');
  t.is(receivedBytes, CHUNKS);
});
