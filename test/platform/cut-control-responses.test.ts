/**
 * Guards against responses of the store, and of the engines to control calls, that are cut and still
 * count as answers, on new and on kept connections.
 */
import net, { type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { type EngineEndpoint, IncarnationState } from '../../src/protocol/inference/port.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import {
  CLOSE_AT_ONCE,
  CLOSINGS,
  type Closing,
  END_OF_HEAD,
  closeAfter,
  prefixLengths,
} from '../helpers/cut-responses.js';
import { positionAt } from '../helpers/positions.js';
import { FRAMINGS, type ScriptedFraming } from '../helpers/scripted-engine.js';

const TIMEOUT_MS = 600_000;
const OBJECT = '{"metadata":{"name":"main","revision":7},"spec":{"a":1}}';
const REPORT = '{"born":2000,"models":[{"name":"m","version":3}],"busy":false,"sequence":1}';
const PAGE = '"born":1,"boot_epoch":1,"next_page_token":1';
const NOTHING = 'nothing';

/** A call whose response is JSON; resolves with `NOTHING` if no response counts. */
interface JsonCall {
  readonly status: string;
  readonly body: string;
  /** Whether the status alone is the answer, so that only the head may not be cut. */
  readonly isStatusEnough?: boolean;
  make(store: ObjectStoreClient, engines: EngineClient, address: string): Promise<unknown>;
}

function engineAt(address: string): EngineEndpoint & { startedAtMs: number } {
  return { id: 'engine-1', name: 'engine-1', address, startedAtMs: 1_000 };
}

const JSON_CALLS: Record<string, JsonCall> = {
  list: {
    status: '200 OK',
    body: `{"items":[${OBJECT}],"at":7}`,
    make: (store) => store.list('kind', ListFreshness.Current),
  },
  watch: {
    status: '200 OK',
    body: '{"events":[],"at":7}',
    make: (store) => store.watch('kind', positionAt(5), 10),
  },
  'watch of lost history': {
    status: '410 Gone',
    body: '{}',
    isStatusEnough: true,
    make: (store) => store.watch('kind', positionAt(5), 10),
  },
  read: { status: '200 OK', body: OBJECT, make: (store) => store.read('kind', 'main') },
  'read of nothing': {
    status: '404 Not Found',
    body: '{}',
    isStatusEnough: true,
    make: (store) => store.read('kind', 'main'),
  },
  create: {
    status: '201 Created',
    body: OBJECT,
    make: (store) => store.create('kind', 'main', {}),
  },
  replace: {
    status: '200 OK',
    body: OBJECT,
    make: (store) => store.replace('kind', 'main', {}, positionAt(5)),
  },
  'replace in conflict': {
    status: '409 Conflict',
    body: OBJECT,
    isStatusEnough: true,
    make: (store) => store.replace('kind', 'main', {}, positionAt(5)),
  },
  'replace of nothing': {
    status: '404 Not Found',
    body: '{}',
    isStatusEnough: true,
    make: (store) => store.replace('kind', 'main', {}, positionAt(5)),
  },
  remove: {
    status: '200 OK',
    body: OBJECT,
    isStatusEnough: true,
    make: (store) => store.remove('kind', 'main').then(() => 'removed'),
  },
  'weight state': {
    status: '200 OK',
    body: REPORT,
    make: async (_store, engines, address) =>
      (await engines.readWeightState(engineAt(address), 'm')) ?? NOTHING,
  },
  incarnation: {
    status: '200 OK',
    body: REPORT,
    isStatusEnough: true,
    make: async (_store, engines, address) => {
      const { state } = await engines.checkIncarnation(engineAt(address));
      return state === IncarnationState.Unknown ? NOTHING : state;
    },
  },
  'load command': {
    status: '202 Accepted',
    body: '{"born":2000}',
    isStatusEnough: true,
    make: async (_store, engines, address) => {
      const command = { model: 'm', version: 1, holder: 'h', fencingToken: 1, expectedSequence: 1 };
      const result = await engines.sendLoadCommand(engineAt(address), command);
      return result.kind === 'unknown' ? NOTHING : result;
    },
  },
  'cache events': {
    status: '200 OK',
    body: `{${PAGE},"events":[]}`,
    make: (_store, engines, address) => engines.cacheEvents(address, 0, 10),
  },
  'cache contents': {
    status: '200 OK',
    body: `{${PAGE},"held":[]}`,
    make: (_store, engines, address) => engines.cacheContents(address),
  },
};

function jsonResponse({ status, body }: JsonCall, framing: ScriptedFraming): string {
  const head = `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n`;
  if (framing === 'connection') return `${head}\r\n${body}`;
  if (framing === 'length') return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  return `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** Answers each request with the bytes that `next` returns, and closes the connection if it says so. */
async function startPeer(
  t: ExecutionContext,
  next: () => { bytes: string; closing: Closing | undefined },
): Promise<string> {
  const server = net.createServer((socket) => {
    t.teardown(() => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      if (!chunk.toString('latin1').includes(END_OF_HEAD)) return;
      const { bytes, closing } = next();
      if (closing) closeAfter(socket, bytes, closing);
      else socket.write(bytes);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** The results of a call for each prefix of its response that is long enough, except `NOTHING`. */
async function resultsOfPrefixes(
  t: ExecutionContext,
  call: JsonCall,
  framing: ScriptedFraming,
  isCounted: (length: number, headBytes: number) => boolean,
): Promise<string[]> {
  const whole = jsonResponse(call, framing);
  const headBytes = whole.indexOf(END_OF_HEAD) + END_OF_HEAD.length;
  let answer: { bytes: string; closing: Closing | undefined } = { bytes: '', closing: undefined };
  const address = await startPeer(t, () => answer);
  const store = new ObjectStoreClient(address);
  const engines = new EngineClient();
  t.teardown(() => store.close());
  t.teardown(() => engines.retain(new Set()));
  const results: string[] = [];
  let count = 0;
  for (const [index, closing] of CLOSINGS.entries()) {
    for (const isKept of [false, true]) {
      for (const length of prefixLengths(whole.length, index * 5)) {
        if (!isCounted(length, headBytes)) continue;
        if (isKept) {
          answer = { bytes: jsonResponse(call, 'length'), closing: undefined };
          await call.make(store, engines, address);
        }
        answer = { bytes: whole.slice(0, length), closing };
        const result = await call.make(store, engines, address).catch(() => NOTHING);
        count += 1;
        if (result === NOTHING) continue;
        const name = `${length} of ${whole.length} bytes by ${framing} ${JSON.stringify(closing)}`;
        results.push(`${name}: ${JSON.stringify(result)}`);
      }
    }
  }
  t.log(`${count} cases by ${framing}`);
  return results;
}

// Guards against an empty list, a missing object or a written record that nobody has stated.
for (const [name, call] of Object.entries(JSON_CALLS)) {
  test.serial(`no part of a response to a control call is an answer: ${name}`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const isCounted = (length: number, headBytes: number): boolean =>
      length < headBytes || call.isStatusEnough !== true;
    for (const framing of FRAMINGS) {
      t.deepEqual(await resultsOfPrefixes(t, call, framing, isCounted), []);
    }
  });
}

const ERROR =
  'HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}';

// Guards against an error that is read with the status of a head that its sender has broken off.
for (const [name, call] of Object.entries(JSON_CALLS)) {
  test.serial(`a part of a head before an error is no answer to a call: ${name}`, async (t) => {
    t.timeout(TIMEOUT_MS);
    let bytes = '';
    const address = await startPeer(t, () => ({ bytes, closing: CLOSE_AT_ONCE }));
    const store = new ObjectStoreClient(address);
    const engines = new EngineClient();
    t.teardown(() => store.close());
    t.teardown(() => engines.retain(new Set()));
    for (const framing of FRAMINGS) {
      const whole = jsonResponse(call, framing);
      const headBytes = whole.indexOf(END_OF_HEAD) + END_OF_HEAD.length;
      for (const length of prefixLengths(headBytes, headBytes)) {
        if (length === 0) continue;
        bytes = whole.slice(0, length) + ERROR;
        const result = await call.make(store, engines, address).catch(() => NOTHING);
        t.is(result, NOTHING, `${length} of ${headBytes} bytes by ${framing}`);
      }
    }
  });
}

// Guards against a report without a state that clears an engine of having broken off a response: what
// the whole report says here is another start of the engine.
test.serial('a report that breaks off does not show that its engine is the same', async (t) => {
  t.timeout(TIMEOUT_MS);
  const call = JSON_CALLS['incarnation'] as JsonCall;
  for (const framing of FRAMINGS) {
    const isBody = (length: number, headBytes: number): boolean => length >= headBytes;
    t.deepEqual(await resultsOfPrefixes(t, call, framing, isBody), []);
  }
});
