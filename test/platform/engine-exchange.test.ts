/** Guards against misclassified engine responses: incomplete, mismatched and rejecting ones. */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import type {
  ResponseHead,
  EngineNotice,
  ExchangeFailure,
} from '../../src/protocol/inference/port.js';
import { holdsWithin } from '../helpers/endless-peer.js';
import { REQUEST, RESPONSE_HEAD, SEND_OPTIONS } from '../helpers/exchange-fixtures.js';

const CLOSE_TIMEOUT_MS = 500;
const CHUNKED_HELLO = 'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n';

interface Outcome {
  notice?: EngineNotice;
  head?: ResponseHead;
  body: string;
  end: 'whole' | ExchangeFailure;
}

/** Serves every connection with a script; returns the outcome of the exchange for the router. */
async function exchangeWith(
  t: ExecutionContext,
  script: (socket: net.Socket, received: string) => void,
): Promise<Outcome> {
  const server = net.createServer((socket) => {
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (received.endsWith('body')) script(socket, received);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  return new Promise((resolve) => {
    const outcome: Outcome = { body: '', end: 'whole' };
    new EngineClient().send(
      { id: 'engine-1', name: 'engine-1', address: `127.0.0.1:${port}` },
      REQUEST,
      SEND_OPTIONS,
      {
        onNotice: (notice) => (outcome.notice = notice),
        onHead: (head) => (outcome.head = head),
        onChunk: (chunk) => (outcome.body += Buffer.from(chunk).toString('latin1')),
        onEnd: () => resolve(outcome),
        onFailure: (failure) => resolve({ ...outcome, end: failure }),
      },
    );
  });
}

test('a response with a Content-Length is complete', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write(`${RESPONSE_HEAD}Content-Length: 5\r\n\r\nhello`);
  });
  t.is(outcome.end, 'whole');
  t.is(outcome.body, 'hello');
  t.true(outcome.head?.isAttested);
});

test('a response without a Content-Length is complete when its connection ends', async (t) => {
  const outcome = await exchangeWith(t, (socket) => socket.end(`${RESPONSE_HEAD}\r\nhello`));
  t.is(outcome.end, 'whole');
  t.is(outcome.body, 'hello');
});

test('a response without a Content-Length is incomplete if a reset arrives with its last bytes', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write(`${RESPONSE_HEAD}\r\nhel`);
    socket.resetAndDestroy();
  });
  t.not(outcome.end, 'whole');
});

test('a response without a Content-Length is incomplete if a reset arrives later', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write(`${RESPONSE_HEAD}\r\nhel`, () => setTimeout(() => socket.resetAndDestroy(), 30));
  });
  t.not(outcome.end, 'whole');
});

test('a response shorter than its Content-Length is incomplete', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.end(`${RESPONSE_HEAD}Content-Length: 50\r\n\r\nhello`);
  });
  t.is((outcome.end as ExchangeFailure).kind, 'cut');
});

test('a complete response is delivered although further bytes follow it', async (t) => {
  const bodies = ['Content-Length: 5\r\n\r\nhello', CHUNKED_HELLO];
  for (const body of bodies) {
    for (const further of ['nonsense', `${RESPONSE_HEAD}Content-Length: 5\r\n\r\nother`]) {
      let hasClosed = false;
      const outcome = await exchangeWith(t, (socket) => {
        socket.on('close', () => (hasClosed = true));
        socket.write(`${RESPONSE_HEAD}${body}${further}`);
      });
      t.is(outcome.end, 'whole', further);
      t.is(outcome.body, 'hello');
      t.true(await holdsWithin(() => hasClosed, CLOSE_TIMEOUT_MS));
    }
  }
});

test('a response to another request is discarded and leaves the outcome unknown', async (t) => {
  const other = RESPONSE_HEAD.replace('request-1', 'request-0');
  const outcome = await exchangeWith(t, (socket) => {
    socket.write(`${other}Content-Length: 5\r\n\r\nhello`);
  });
  t.is((outcome.end as ExchangeFailure).kind, 'unknown');
  t.is(outcome.head, undefined);
});

test('a rejection with the not-executed header proves that the request did not run', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write(
      'HTTP/1.1 503 Busy\r\nX-Peatspan-Not-Executed: 1\r\nX-Peatspan-Attempt-Id: request-1\r\nContent-Length: 0\r\n\r\n',
    );
  });
  t.is((outcome.end as ExchangeFailure).kind, 'refused');
});

test('a rejection without the not-executed header leaves the outcome unknown', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write('HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n');
  });
  t.is((outcome.end as ExchangeFailure).kind, 'unknown');
});

test('bytes that are not an HTTP response leave the outcome unknown', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write('nonsense\r\n\r\n');
  });
  t.is((outcome.end as ExchangeFailure).kind, 'unknown');
});

test('a response that switches protocols fails at once', async (t) => {
  const outcome = await exchangeWith(t, (socket) => {
    socket.write('HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\nbytes');
  });
  t.deepEqual(outcome.end, { kind: 'unknown', reason: 'upgrade-response' });
});

test('malformed bytes are not taken for a lost connection', async (t) => {
  const responses = [
    'nonsense\r\n\r\n',
    `${RESPONSE_HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nnonsense`,
    `${RESPONSE_HEAD}A: ${'x'.repeat(100_000)}`,
  ];
  for (const response of responses) {
    const { end, head } = await exchangeWith(t, (socket) => socket.write(response));
    t.not(end, 'whole');
    t.is((end as ExchangeFailure).kind, head ? 'cut' : 'unknown');
    t.false('isDisconnect' in (end as ExchangeFailure));
  }
});

test('nothing was sent to an engine that refuses the connection', async (t) => {
  const outcome = await new Promise<ExchangeFailure>((resolve) => {
    new EngineClient().send(
      { id: 'engine-1', name: 'engine-1', address: '127.0.0.1:1' },
      REQUEST,
      SEND_OPTIONS,
      {
        onNotice: () => undefined,
        onHead: () => undefined,
        onChunk: () => undefined,
        onEnd: () => undefined,
        onFailure: resolve,
      },
    );
  });
  t.is(outcome.kind, 'not-sent');
});

test('the engine receives method, target, body and headers as sent', async (t) => {
  let seen = '';
  await exchangeWith(t, (socket, received) => {
    seen = received;
    socket.write(`${RESPONSE_HEAD}Content-Length: 0\r\n\r\n`);
  });
  t.true(seen.startsWith('POST /a/b?c=d HTTP/1.1\r\nHost: host.example\r\n'));
  t.true(seen.includes('X-Peatspan-Expect-Instance: engine-1\r\n'));
  t.true(seen.includes('X-Peatspan-Tenant: tenant-1\r\n'));
  t.true(seen.includes('X-Peatspan-Time-Budget-Ms: 500\r\n'));
  t.true(seen.endsWith('\r\n\r\nbody'));
});

const REJECTED_HEADERS = 'X-Peatspan-Attempt-Id: request-1\r\nX-Peatspan-Not-Executed: 1\r\n';

interface NoticeCase {
  readonly title: string;
  /** Status line and headers of the response. */
  readonly head: string;
  readonly expected: EngineNotice | undefined;
}

const EMPTY_NOTICE: EngineNotice = {
  isLeaving: false,
  backoffMs: undefined,
  limitPerSecond: undefined,
  rejectionTolerance: undefined,
  unreadable: [],
  unknownHeaders: [],
};

const NOTICE_CASES: readonly NoticeCase[] = [
  {
    title: 'a response without engine headers',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\n`,
    expected: undefined,
  },
  {
    title: 'a response of an engine that is shutting down',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Leaving: 1\r\n`,
    expected: { ...EMPTY_NOTICE, isLeaving: true },
  },
  {
    title: 'an error response of an engine that is shutting down',
    head: `500 Failed\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Leaving: 1\r\n`,
    expected: { ...EMPTY_NOTICE, isLeaving: true },
  },
  {
    title: 'a rejection with Retry-After',
    head: `503 Full\r\n${REJECTED_HEADERS}Retry-After: 2.5\r\n`,
    expected: { ...EMPTY_NOTICE, backoffMs: 2_500 },
  },
  {
    title: 'a rejection with Retry-After from an engine that is shutting down',
    head: `503 Full\r\n${REJECTED_HEADERS}Retry-After: 3\r\nServer-Leaving: 1\r\n`,
    expected: { ...EMPTY_NOTICE, isLeaving: true, backoffMs: 3_000 },
  },
  {
    title: 'a rejection with an invalid Retry-After',
    head: `503 Full\r\n${REJECTED_HEADERS}Retry-After: soon\r\n`,
    expected: { ...EMPTY_NOTICE, unreadable: ['soon'] },
  },
  {
    title: 'a response with a rate limit',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Limit: 1.6\r\n`,
    expected: { ...EMPTY_NOTICE, limitPerSecond: 1.6 },
  },
  {
    title: 'a rejection with a rate limit of zero',
    head: `503 Full\r\n${REJECTED_HEADERS}Server-Limit: 0\r\n`,
    expected: { ...EMPTY_NOTICE, limitPerSecond: 0 },
  },
  {
    title: 'a response with a rate limit that is not a number',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Limit: few\r\n`,
    expected: { ...EMPTY_NOTICE, unreadable: ['few'] },
  },
  {
    title: 'a rejection of an engine that tolerates few rejections',
    head: `503 Full\r\n${REJECTED_HEADERS}Server-Brittle: 6\r\n`,
    expected: { ...EMPTY_NOTICE, rejectionTolerance: 6 },
  },
  {
    title: 'a response with a number of tolerated rejections that is not one',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Brittle: some\r\n`,
    expected: { ...EMPTY_NOTICE, unreadable: ['some'] },
  },
  {
    title: 'a response with an unknown platform header',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nServer-Mood: 3\r\nX-Other: 1\r\n`,
    expected: { ...EMPTY_NOTICE, unknownHeaders: ['server-mood'] },
  },
  {
    title: 'a rate limit of another engine at the address',
    head: `421 Other\r\n${REJECTED_HEADERS}Server-Limit: 1.6\r\n`,
    expected: undefined,
  },
  {
    title: 'a successful response with Retry-After',
    head: `200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nRetry-After: 3\r\n`,
    expected: undefined,
  },
  {
    title: 'a rejection of another engine at the address',
    head: `421 Other\r\n${REJECTED_HEADERS}Server-Leaving: 1\r\n`,
    expected: undefined,
  },
];

for (const { title, head, expected } of NOTICE_CASES) {
  test(`engine headers: ${title}`, async (t) => {
    const outcome = await exchangeWith(t, (socket) => {
      socket.write(`HTTP/1.1 ${head}Content-Length: 0\r\n\r\n`);
    });
    t.deepEqual(outcome.notice, expected);
  });
}
