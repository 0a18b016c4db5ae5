/**
 * Guards against a plain response without end that fills a router's memory, outlives its caller or
 * its deadline, or reaches its caller as complete.
 */
import net from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { byteBudgetOf } from '../../src/state/routing/byte-budget.js';
import { holdsWithin, writeWithoutEnd } from '../helpers/endless-peer.js';
import {
  FRAMINGS,
  type ScriptedEngine,
  type ScriptedFraming,
  startScriptedEngine,
} from '../helpers/scripted-engine.js';
import { type SocketRouter, startRouter } from '../helpers/socket-router.js';

const PATH = '/plain/plain-safe/x';
const BUDGET_MS = 1_000;
const LONG_BUDGET_MS = 20_000;
const WAIT_MS = 3_000;
const PASSED_BYTES = 16_777_216;
/** A response exceeds its share by what is read before its engine is paused. */
const READ_BYTES = 65_536;
const SAMPLE_MS = 2;
const TOTAL_BYTES = 33_554_432;
const MEMORY = byteBudgetOf(TOTAL_BYTES);
const BLOCK = 'x'.repeat(1_000);

async function startEngine(
  t: ExecutionContext,
  framing: ScriptedFraming,
): Promise<{ engine: ScriptedEngine; requests: () => number }> {
  let requests = 0;
  const engine = await startScriptedEngine(t, ({ id, socket }) => {
    requests += 1;
    const head =
      'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n' +
      `X-Peatspan-Attempt-Id: ${id}\r\nX-Peatspan-Response-Seal: s\r\n`;
    if (framing === 'chunks') {
      const start = `${head}Transfer-Encoding: chunked\r\n\r\n`;
      writeWithoutEnd(socket, { start, repeated: `3e8\r\n${BLOCK}\r\n` });
      return;
    }
    const length = framing === 'length' ? 'Content-Length: 1000000000000\r\n' : '';
    writeWithoutEnd(socket, { start: `${head}${length}\r\n`, repeated: BLOCK });
  });
  return { engine, requests: () => requests };
}

/** A caller that reads as fast as it can. */
class ReadingCaller {
  receivedBytes = 0;
  private tail = '';
  isClosed = false;
  private hasError = false;
  readonly socket: net.Socket;

  constructor(t: ExecutionContext, { port }: SocketRouter, budgetMs: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.on('data', (chunk) => {
      this.receivedBytes += chunk.length;
      this.tail = chunk.subarray(-5).toString('latin1');
    });
    this.socket.on('error', () => (this.hasError = true));
    // A reset that arrives with the last bytes shows only in the missing remote port.
    this.socket.on('end', () => (this.hasError ||= this.socket.remotePort === undefined));
    this.socket.on('close', () => (this.isClosed = true));
    t.teardown(() => this.socket.destroy());
    this.socket.write(
      `POST ${PATH} HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: request-1\r\n` +
        `Api-Key: key-1\r\nX-Peatspan-Time-Budget-Ms: ${budgetMs}\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  isCutOff(framing: ScriptedFraming): boolean {
    return framing === 'length' || !this.tail.endsWith('0\r\n\r\n');
  }
}

for (const framing of FRAMINGS) {
  test.serial(`a plain response without end is cut off at its deadline: ${framing}`, async (t) => {
    const { engine, requests } = await startEngine(t, framing);
    const router = await startRouter(t, [engine.address], { memory: MEMORY });
    let heldBytes = 0;
    const sampler = setInterval(() => {
      heldBytes = Math.max(heldBytes, router.node.memory?.heldBytes ?? 0);
    }, SAMPLE_MS);
    const caller = new ReadingCaller(t, router, BUDGET_MS);
    await holdsWithin(() => caller.isClosed, WAIT_MS);
    clearInterval(sampler);
    t.log(`${caller.receivedBytes} bytes received, at most ${heldBytes} held`);
    t.true(caller.isClosed);
    t.true(caller.isCutOff(framing));
    t.true(heldBytes <= MEMORY.responseBytes + 2 * READ_BYTES);
    t.is(requests(), 1);
    t.true(await holdsWithin(() => engine.sockets.size === 0, WAIT_MS));
    t.is(router.node.memory?.heldBytes, 0);
  });

  test.serial(`a plain response without end ends with its caller: ${framing}`, async (t) => {
    const { engine } = await startEngine(t, framing);
    const router = await startRouter(t, [engine.address], {});
    const caller = new ReadingCaller(t, router, LONG_BUDGET_MS);
    t.true(await holdsWithin(() => caller.receivedBytes > PASSED_BYTES, WAIT_MS));
    caller.socket.destroy();
    t.true(await holdsWithin(() => engine.sockets.size === 0, WAIT_MS));
    t.true(await holdsWithin(() => router.node.memory?.heldBytes === 0, WAIT_MS));
  });
}
