/**
 * A stand-in for a model engine, as PROTOCOL.md describes it. It keeps the parts of prompts by salt
 * and ID, with the tenant whose request made them, and records what each request used.
 */
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { readBody, sendJson, serve } from './http.mjs';

const HEARTBEAT_MS = 1_200;
const EVENT_WAIT_LIMIT_MS = 1_000;

export class Engine {
  #parts = new Map();
  #events = [];
  #waiting = new Set();
  #epoch = Math.floor(Math.random() * 1e6);
  #sequence = 0;
  #busy = false;
  #running = 0;
  #answers = 0;
  /** One in this many answers has neither a length nor chunks and ends with its connection. */
  unframedOneIn = 0;
  /** Answers without a length that are being sent: attempt, events sent and events in all. */
  unframed = new Set();

  /**
   * @param options id, service, zone, slots, capacityTokens, model, version, loadMs (time for new
   *   weights), tokenMs (time for each event), store, and record (called with what happened)
   */
  constructor(options) {
    this.options = options;
    this.version = options.version;
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

  /** The entry changes only when more than its `sequence` does. */
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
      stage: 'both',
      models: this.#models(),
      sequence: this.#sequence,
    };
    store.put('servers', id, entry);
  }

  #models() {
    return [{ name: this.options.model, version: this.version, adapters: [] }];
  }

  async #answer(request, response) {
    const { id } = this.options;
    const expected = request.headers['x-peatspan-expect-instance'];
    const { pathname, searchParams } = new URL(request.url, 'http://engine');
    const body = await readBody(request);
    if (expected !== undefined && expected !== id)
      return sendJson(response, 421, {}, { 'X-Peatspan-Instance-Id': id });
    if (pathname === '/report') return sendJson(response, 200, this.#report());
    if (pathname === '/order') return this.#order(JSON.parse(body), response);
    if (pathname === '/kv-events') return this.#sendEvents(request, searchParams, response);
    if (pathname === '/kv-list') return sendJson(response, 200, this.#contents());
    if (pathname === '/health')
      return sendJson(response, 200, {}, { 'X-Peatspan-Instance-Id': id });
    return this.#run(request, response);
  }

  #report() {
    const tokens = [...this.#parts.values()].reduce((sum, part) => sum + part.tokens, 0);
    return {
      stage: 'both',
      models: this.#models(),
      busy: this.#busy,
      sequence: this.#sequence,
      queued: 0,
      running: this.#running,
      kv_used: tokens,
      kv_total: this.options.capacityTokens,
      handles: 0,
    };
  }

  #order(order, response) {
    const status = this.#statusOf(order);
    this.options.record({ what: 'order', engine: this.options.id, status, ...order });
    sendJson(response, status, {});
    if (status !== 202) return;
    this.#sequence += 1;
    this.#busy = true;
    for (const key of [...this.#parts.keys()]) this.#drop(key);
    setTimeout(() => {
      this.version = order.version;
      this.#busy = false;
      this.#writeEntry();
    }, this.options.loadMs);
  }

  #statusOf({ operation, holder, fencing_token: token, expected_revision: sequence, ...order }) {
    const { model, store } = this.options;
    if (operation !== 'version' || holder === undefined || token === undefined) return 400;
    const named = store.get('versions', model)?.spec.version ?? 1;
    if (order.model !== model || order.version > named) return 400;
    if (this.#busy || (sequence !== undefined && sequence !== this.#sequence)) return 409;
    return order.version === this.version ? 200 : 202;
  }

  #contents() {
    const held = [...this.#parts.values()].map(({ salt, id, tokens }) => [
      salt,
      id,
      tokens,
      this.options.model,
    ]);
    return { boot_epoch: this.#epoch, next_page_token: this.#events.length, held };
  }

  async #sendEvents(request, searchParams, response) {
    const since = Number(searchParams.get('since') ?? 0);
    const waitMs = Math.min(EVENT_WAIT_LIMIT_MS, Number(request.headers['wait-ms'] ?? 0));
    if (this.#events.length <= since) await this.#nextEvent(waitMs);
    const events = this.#events.slice(since);
    const next = this.#events.length;
    const page = { boot_epoch: this.#epoch, next_page_token: next, lost: false, events };
    sendJson(response, 200, page);
  }

  #nextEvent(waitMs) {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#waiting.delete(resolve) && resolve(), waitMs);
      this.#waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #keep(key, part) {
    this.#parts.set(key, part);
    this.#noteEvent('+', part, part.tokens);
  }

  #drop(key) {
    const part = this.#parts.get(key);
    this.#parts.delete(key);
    this.#noteEvent('-', part, 0);
  }

  #noteEvent(sign, { salt, id }, tokens) {
    this.#events.push([this.#events.length + 1, sign, salt, id, tokens, this.options.model]);
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
  }

  async #run(request, response) {
    const { headers } = request;
    const { id, record } = this.options;
    const attempt = headers['x-peatspan-attempt-id'];
    const common = { 'X-Peatspan-Attempt-Id': attempt ?? '', 'X-Peatspan-Instance-Id': id };
    const rejection = this.#rejectionOf(headers);
    if (rejection !== undefined)
      return sendJson(response, rejection, {}, { ...common, 'X-Peatspan-Not-Executed': '1' });
    const tenant = headers['x-peatspan-tenant'];
    const salt = headers['x-peatspan-cache-salt'] ?? '';
    const used = this.#readPrompt(headers['x-peatspan-prompt-prefix'] ?? '', salt, tenant);
    record({ what: 'run', engine: id, attempt, tenant, salt, version: this.version, used });
    this.#running += 1;
    response.on('close', () => (this.#running -= 1));
    this.#answers += 1;
    const isUnframed = this.unframedOneIn > 0 && this.#answers % this.unframedOneIn === 0;
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      ...common,
      'Content-Type': 'text/event-stream',
      'X-Peatspan-Response-Seal': `${id}.${attempt}`,
      'X-Peatspan-Weight-Versions': String(this.version),
    });
    return this.#stream(headers, response, isUnframed);
  }

  /** The status of a request that is not run; undefined if it is. */
  #rejectionOf(headers) {
    const expected = headers['x-peatspan-expect-version'];
    if (headers['x-peatspan-attempt-id'] === undefined) return 400;
    if (expected !== undefined && Number(expected) !== this.version) return 421;
    return headers['x-peatspan-model'] !== this.options.model || this.#busy ? 503 : undefined;
  }

  async #stream(headers, response, isUnframed) {
    const [, output = '1'] = (headers['x-peatspan-token-usage'] ?? '').split(',');
    const { id: engine, record, tokenMs } = this.options;
    const progress = { attempt: headers['x-peatspan-attempt-id'], sent: 0, events: Number(output) };
    if (isUnframed) this.unframed.add(progress);
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= progress.events && !response.destroyed; event += 1) {
      await sleep(tokenMs);
      response.write(`id: ${event}\ndata: token ${event}\n\n`);
      progress.sent = event;
    }
    this.unframed.delete(progress);
    const isCutByRouter = response.destroyed;
    record({ what: 'answer ended', engine, isUnframed, isCutByRouter, ...progress });
    response.end();
  }

  /**
   * Reads a prompt. A kept part is used if every part before it is kept too; the others are read and
   * kept. Returns the parts used, with the tenant whose request made each.
   */
  #readPrompt(prompt, salt, tenant) {
    const used = [];
    let isPrefixKept = true;
    for (const text of prompt.split(',').filter((each) => each !== '')) {
      const [id, tokens] = text.split(':');
      const key = `${salt} ${id}`;
      const kept = this.#parts.get(key);
      isPrefixKept &&= kept !== undefined;
      if (isPrefixKept) used.push({ part: id, madeFor: kept.tenant });
      else this.#keep(key, { salt, id, tokens: Number(tokens), tenant });
    }
    return used;
  }
}
