/**
 * A stand-in for an engine of a plain service, as PROTOCOL.md describes it: it works on `slots`
 * requests at once, queues a few further ones and rejects the rest. While it is faulty, it sends some
 * answers whose first digit of the status has one bit flipped, so that 200 becomes 000: bytes that are
 * not an answer.
 */
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { readBody, sendJson, serve } from './http.mjs';

const HEARTBEAT_MS = 1_200;
const BODY = Buffer.alloc(800, 'b');

export class PlainEngine {
  #running = 0;
  #waiting = [];
  #answers = 0;
  /** One in this many answers is spoiled; 0 if the engine is sound. */
  spoilsOneIn = 0;

  /** @param options id, service, zone, slots, queue, workMs, store, and record */
  constructor(options) {
    this.options = options;
  }

  async start(ip) {
    const { server, port } = await serve(ip, (request, response) =>
      this.#answer(request, response),
    );
    this.server = server;
    this.address = `${ip}:${port}`;
    this.#writeEntry();
    this.timer = setInterval(() => this.#writeEntry(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }

  #writeEntry() {
    const { id, service, zone, slots, store } = this.options;
    const entry = {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 0,
    };
    store.put('servers', id, entry);
  }

  async #answer(request, response) {
    const { id, workMs, record } = this.options;
    const { headers } = request;
    const attempt = headers['x-peatspan-attempt-id'];
    const common = { 'X-Peatspan-Instance-Id': id };
    await readBody(request);
    const expected = headers['x-peatspan-expect-instance'];
    if (expected !== undefined && expected !== id) return sendJson(response, 421, {}, common);
    const { pathname } = new URL(request.url, 'http://engine');
    if (pathname === '/health') return sendJson(response, 200, {}, common);
    const notRun = { ...common, 'X-Peatspan-Not-Executed': '1' };
    if (attempt === undefined) return sendJson(response, 400, {}, notRun);
    const named = { ...common, 'X-Peatspan-Attempt-Id': attempt };
    if (!(await this.#takeSlot()))
      return sendJson(response, 503, {}, { ...notRun, 'X-Peatspan-Attempt-Id': attempt });
    const isFaulty = this.spoilsOneIn > 0;
    record({ what: 'run', engine: id, attempt, isFaulty });
    await sleep(workMs);
    this.#freeSlot();
    this.#answers += 1;
    const isSpoiled = isFaulty && this.#answers % this.spoilsOneIn === 0;
    record({ what: 'ran', engine: id, attempt, isSpoiled });
    const seal = { ...named, 'X-Peatspan-Response-Seal': `${id}.${attempt}` };
    if (isSpoiled) return this.#sendSpoiled(response, seal);
    response.writeHead(200, { ...seal, 'Content-Length': String(BODY.length) });
    return response.end(BODY);
  }

  async #takeSlot() {
    const { slots, queue } = this.options;
    if (this.#running >= slots) {
      if (this.#waiting.length >= queue) return false;
      await new Promise((resolve) => this.#waiting.push(resolve));
    }
    this.#running += 1;
    return true;
  }

  #freeSlot() {
    this.#running -= 1;
    this.#waiting.shift()?.();
  }

  /** The bytes of the answer as a sound engine sends it, but for one bit. */
  #sendSpoiled({ socket }, headers) {
    const fields = { ...headers, 'Content-Length': String(BODY.length) };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    const bytes = Buffer.concat([
      Buffer.from(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`, 'latin1'),
      BODY,
    ]);
    bytes[bytes.indexOf('200')] ^= 0b10;
    socket.end(bytes);
  }
}
