/**
 * A stand-in for the platform's store, as PROTOCOL.md and NEWS-23.md describe it: objects by kind and
 * name, one counter of revisions, lists, watches, and writes under a condition. A PUT that changes
 * nothing raises no revision and no event.
 */
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { isDeepStrictEqual } from 'node:util';
import { readBody, sendJson, serve } from './http.mjs';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
/** The store was never restored from a copy. */
const ERA = { 'Store-Era': '1' };

export class Store {
  #kinds = new Map();
  #history = [];
  #waiting = new Set();
  #oldest;
  revision = 20;

  constructor() {
    this.#oldest = this.revision;
  }

  async start(ip) {
    const { server, port } = await serve(ip, (request, response) =>
      this.#answer(request, response),
    );
    this.server = server;
    this.address = `${ip}:${port}`;
  }

  stop() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  get(kind, name) {
    return this.#objects(kind).get(name);
  }

  /** A write of the operator or of an engine, without a condition. */
  put(kind, name, spec) {
    const present = this.get(kind, name);
    if (present && isDeepStrictEqual(present.spec, spec)) return present;
    return this.#write(kind, name, { spec });
  }

  #objects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #write(kind, name, { spec, finalizers, status }) {
    const present = this.get(kind, name);
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        made: present?.metadata.made ?? this.revision,
        finalizers: finalizers ?? present?.metadata.finalizers ?? [],
        deleting: false,
      },
      spec,
      status: status ?? present?.status ?? null,
    };
    this.#objects(kind).set(name, object);
    this.#note({ kind, object, gone: false });
    return object;
  }

  #remove(kind, name) {
    const object = this.get(kind, name);
    if (!object) return undefined;
    this.revision += 1;
    this.#objects(kind).delete(name);
    this.#note({ kind, object, gone: true });
    return object;
  }

  #note(change) {
    this.#history.push({ ...change, at: this.revision });
    for (const wake of [...this.#waiting]) wake();
  }

  async #answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    const text = await readBody(request);
    const body = text === '' ? {} : JSON.parse(text);
    const reply = (status, content) =>
      setTimeout(() => sendJson(response, status, content, ERA), ANSWER_MS);
    if (request.method === 'GET') this.#read(url, kind, name, reply, response);
    else if (request.method === 'POST') this.#create(kind, body, reply);
    else if (request.method === 'PUT') this.#replace(kind, name, part, body, reply);
    else if (request.method === 'DELETE') this.#delete(url, kind, name, reply);
    else reply(405, {});
  }

  #read(url, kind, name, reply, response) {
    if (name !== undefined) {
      const object = this.get(kind, name);
      reply(object ? 200 : 404, object ?? {});
    } else if (url.searchParams.has('watch')) this.#watch(url, kind, reply, response);
    else {
      const after = url.searchParams.get('after') ?? '';
      const names = [...this.#objects(kind).keys()].sort().filter((each) => each > after);
      const items = names.slice(0, PAGE_ITEMS).map((each) => this.get(kind, each));
      reply(200, { items, more: names.length > PAGE_ITEMS, at: this.revision });
    }
  }

  #watch(url, kind, reply, response) {
    const since = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait_ms') ?? 0));
    const check = (isLast) => {
      if (since < this.#oldest || since > this.revision) return finish(410, {});
      const changes = this.#history.filter((each) => each.kind === kind && each.at > since);
      if (changes.length === 0 && !isLast) return undefined;
      const events = changes.map(({ object, gone }) => ({ object, gone }));
      return finish(200, { events, at: this.revision });
    };
    const wake = () => check(false);
    const timer = setTimeout(() => check(true), waitMs);
    const finish = (status, content) => {
      this.#waiting.delete(wake);
      clearTimeout(timer);
      reply(status, content);
    };
    this.#waiting.add(wake);
    response.once('close', () => this.#waiting.delete(wake));
    check(false);
  }

  #create(kind, { metadata, spec }, reply) {
    const present = this.get(kind, metadata.name);
    if (present) reply(409, present);
    else reply(201, this.#write(kind, metadata.name, { spec, finalizers: metadata.finalizers }));
  }

  #replace(kind, name, part, { metadata = {}, spec, status }, reply) {
    const present = this.get(kind, name);
    if (!present) return reply(404, {});
    const { revision, finalizers } = metadata;
    if (revision !== undefined && revision !== present.metadata.revision)
      return reply(409, present);
    const next = {
      spec: part === 'status' ? present.spec : spec,
      status: part === 'status' ? status : present.status,
      finalizers: finalizers ?? present.metadata.finalizers,
    };
    const isSame =
      isDeepStrictEqual(next.spec, present.spec) &&
      isDeepStrictEqual(next.status, present.status) &&
      isDeepStrictEqual(next.finalizers, present.metadata.finalizers);
    return reply(200, isSame ? present : this.#write(kind, name, next));
  }

  #delete(url, kind, name, reply) {
    const present = this.get(kind, name);
    const revision = url.searchParams.get('revision');
    if (!present) reply(404, {});
    else if (revision !== null && Number(revision) !== present.metadata.revision)
      reply(409, present);
    else reply(200, this.#remove(kind, name));
  }
}
