/**
 * Guards against engines that write without end, in a head or in a body, until a router that keeps it all
 * runs out of memory, and the requests of others end with it.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { HOST, WireHeader } from '../../soak/wire.js';
import { checkRouter, sendWhileItStays, startAlone } from '../helpers/crowd-checks.js';
import { type EndlessResponse, blockOf } from '../helpers/endless-peer.js';
import { API_KEY, READ_PATH, RESUMABLE_PATH, STREAM_PATH } from '../helpers/limited-router.js';

const ENGINES = 6;
const CALLERS = 40;
const PAUSE_MS = 40;
const TICK_MS = 5;
/** 140 Mbit/s, the fastest link on the sheet of the smallest machines. */
const BYTES_PER_TICK = 87_500;
const BUDGET_MS = 15_000;
const CHUNK_BYTES = 65_536;
const ATTEMPT = /x-peatspan-attempt-id: (\S+)/i;
const PATHS = [STREAM_PATH, RESUMABLE_PATH, READ_PATH];

/** What an engine writes, after a head that attests the request, or alone. */
interface Kind {
  readonly status: string;
  /** Header lines behind those that attest the request. */
  readonly headers: string;
  readonly response: EndlessResponse;
}

const CHUNKED = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const UNFRAMED = 'Content-Type: text/event-stream\r\n\r\n';
const EVENT = 'id: 1\ndata: a\n\n';
const EVENT_CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
const LARGE_CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;

const GROUPS: ReadonlyMap<string, readonly Kind[]> = new Map([
  [
    'heads',
    [
      kind('200 OK', '', { start: '', repeated: 'A: b\r\n' }),
      kind('200 OK', 'A: ', { start: '', repeated: 'x' }),
      kind('103 Early Hints', '\r\n', { start: '', repeated: 'HTTP/1.1 103 Hint\r\n\r\n' }),
    ],
  ],
  [
    'frames',
    [
      kind('200 OK', CHUNKED, { start: '5;', repeated: 'x' }),
      kind('200 OK', CHUNKED, { start: `${EVENT_CHUNK}0\r\n`, repeated: 'A: b\r\n' }),
      kind('200 OK', CHUNKED, { start: EVENT_CHUNK, repeated: '0' }),
      kind('200 OK', CHUNKED, { start: '', repeated: '1\r\nx\r\n' }),
    ],
  ],
  [
    'bodies',
    [
      kind('200 OK', CHUNKED, { start: EVENT_CHUNK, repeated: LARGE_CHUNK }),
      kind('200 OK', CHUNKED, { start: '', repeated: EVENT_CHUNK }),
      kind('200 OK', UNFRAMED, { start: EVENT, repeated: 'x' }),
      kind('200 OK', UNFRAMED, { start: '', repeated: EVENT }),
      kind('200 OK', 'Content-Length: 900000000000\r\n\r\n', { start: '', repeated: 'x' }),
    ],
  ],
  [
    'failures',
    [
      kind('500 Failed', CHUNKED, { start: '', repeated: LARGE_CHUNK }),
      kind('503 Full', `X-Peatspan-Not-Executed: 1\r\n${CHUNKED}`, {
        start: '',
        repeated: LARGE_CHUNK,
      }),
      kind('421 Misdirected', `X-Peatspan-Not-Executed: 1\r\n${UNFRAMED}`, {
        start: '',
        repeated: 'x',
      }),
    ],
  ],
]);

function kind(status: string, headers: string, response: EndlessResponse): Kind {
  return { status, headers, response };
}

/** The link of a router: all engines together write no more than it carries. */
class Link {
  private readonly writers = new Map<net.Socket, Buffer>();
  private readonly timer = setInterval(() => this.carry(), TICK_MS);

  /** Writes the block again and again, in turn with those of other connections, until it closes. */
  add(socket: net.Socket, block: Buffer): void {
    this.writers.set(socket, block);
    socket.once('close', () => this.writers.delete(socket));
  }

  close(): void {
    clearInterval(this.timer);
  }

  private carry(): void {
    let bytes = 0;
    for (const [socket, block] of [...this.writers]) {
      if (bytes >= BYTES_PER_TICK) return;
      if (socket.writableNeedDrain) continue;
      // The others come first in the next tick.
      this.writers.delete(socket);
      this.writers.set(socket, block);
      socket.write(block);
      bytes += block.length;
    }
  }
}

/** Starts an engine that answers each request, and each control call, with the kind. HOST:PORT. */
async function startEndlessEngine(t: ExecutionContext, each: Kind, link: Link): Promise<string> {
  const sockets = new Set<net.Socket>();
  const block = blockOf(each.response);
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    socket.once('data', (request) => {
      const attempt = ATTEMPT.exec(request.toString('latin1'))?.[1] ?? 'none';
      const head =
        `HTTP/1.1 ${each.status}\r\nX-Peatspan-Attempt-Id: ${attempt}\r\n` +
        `X-Peatspan-Response-Seal: seal\r\n${each.headers}`;
      socket.write(`${head}${each.response.start}`, 'latin1');
      link.add(socket, block);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** Callers that send one request after the other; every other one reads nothing of its response. */
class Callers {
  sent = 0;
  private readonly sockets = new Set<net.Socket>();
  private isEnded = false;

  constructor(private readonly ingress: string) {
    for (let caller = 0; caller < CALLERS; caller += 1) this.call(caller);
  }

  end(): void {
    this.isEnded = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private call(caller: number): void {
    if (this.isEnded) return;
    const [host = '', port] = this.ingress.split(':');
    const socket = net.connect(Number(port), host);
    this.sockets.add(socket);
    this.sent += 1;
    const path = PATHS[this.sent % PATHS.length] ?? STREAM_PATH;
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.sockets.delete(socket);
      setTimeout(() => this.call(caller), PAUSE_MS);
    });
    if (caller % 2 === 0) socket.resume();
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${WireHeader.apiKey}: ${API_KEY}\r\n` +
        `${WireHeader.attemptId}: endless-${this.sent}\r\n` +
        `${WireHeader.budgetMs}: ${BUDGET_MS}\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx`,
    );
  }
}

for (const [name, kinds] of GROUPS) {
  test.serial(`a router outlives engines whose ${name} have no end`, async (t) => {
    const link = new Link();
    t.teardown(() => link.close());
    const engines: string[] = [];
    for (let index = 0; index < ENGINES; index += 1)
      engines.push(await startEndlessEngine(t, kinds[index % kinds.length] as Kind, link));
    const router = await startAlone(t, engines);
    const callers = new Callers(router.listeners.ingress);
    const { sent, served } = await sendWhileItStays(router);
    callers.end();
    t.log(`${callers.sent} requests to such engines, ${served} of ${sent} ordinary ones served`);
    await checkRouter(t, router);
    t.true(served > 0, 'no ordinary request was served meanwhile');
    t.true(callers.sent > CALLERS);
  });
}
