/** A stand-in for the platform's store, as PROTOCOL.md describes it, inside the process of a case. */
import http from 'node:http';
import { URL } from 'node:url';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { readText, sendJson } from './http.mjs';

/** An entry of an engine goes after three heartbeats of 1,200 ms without a write. */
const ENTRY_LIFETIME_MS = 3_600;
const CHECK_PERIOD_MS = 100;
const MAXIMUM_WAIT_MS = 30_000;

/** The store. All objects are in memory; the history is kept whole. */
export class Store {
  constructor() {
    this.kinds = new Map();
    this.revision = 0;
    this.events = [];
    this.watchers = new Set();
    this.entryWrites = new Map();
  }

  async listen() {
    this.server = http.createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    this.timer = setInterval(() => this.expireEntries(), CHECK_PERIOD_MS);
  }

  close() {
    this.timer.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  objectsOf(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  /** Writes an object as the operator does; the return is the acknowledgement. */
  put(kind, name, spec) {
    const objects = this.objectsOf(kind);
    const present = objects.get(name);
    if (present && JSON.stringify(present.spec) === JSON.stringify(spec)) return present;
    this.revision += 1;
    const metadata = { name, revision: this.revision, made: 1, finalizers: [], deleting: false };
    const object = { metadata, spec, status: present?.status ?? {} };
    objects.set(name, object);
    this.publish(kind, { object, gone: false });
    return object;
  }

  remove(kind, name) {
    const object = this.objectsOf(kind).get(name);
    if (!object) return false;
    this.objectsOf(kind).delete(name);
    this.revision += 1;
    this.publish(kind, { object, gone: true });
    return true;
  }

  publish(kind, event) {
    this.events.push({ kind, revision: this.revision, event });
    for (const wake of [...this.watchers]) wake(kind);
  }

  expireEntries() {
    for (const [name, writtenMs] of this.entryWrites) {
      if (Date.now() - writtenMs < ENTRY_LIFETIME_MS) continue;
      this.entryWrites.delete(name);
      this.remove('servers', name);
    }
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , kind, name, part] = url.pathname.split('/');
    const text = await readText(request);
    const body = text ? JSON.parse(text) : {};
    if (request.method === 'GET') {
      if (name) this.sendOne(kind, name, response);
      else if (url.searchParams.has('watch')) await this.watch(kind, url, response);
      else this.sendList(kind, response);
    } else this.write({ method: request.method, kind, name, part, body, url }, response);
  }

  sendOne(kind, name, response) {
    const object = this.objectsOf(kind).get(name);
    sendJson(response, object ? 200 : 404, object ?? {});
  }

  sendList(kind, response) {
    const items = [...this.objectsOf(kind).values()];
    sendJson(response, 200, { items, more: false, at: this.revision });
  }

  async watch(kind, url, response) {
    const since = Number(url.searchParams.get('watch'));
    const waitMs = Math.min(MAXIMUM_WAIT_MS, Number(url.searchParams.get('wait_ms') ?? 0));
    const newer = () => this.events.filter((each) => each.kind === kind && each.revision > since);
    if (newer().length === 0 && waitMs > 0) await this.waitForEvent(kind, waitMs, response);
    const events = newer().map(({ event }) => event);
    sendJson(response, 200, { events, at: this.revision });
  }

  waitForEvent(kind, waitMs, response) {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      const wake = (changed) => {
        if (changed === kind) end();
      };
      const timer = setTimeout(end, waitMs);
      this.watchers.add(wake);
      response.once('close', end);
    });
  }

  write({ method, kind, name, part, body, url }, response) {
    const { metadata = {} } = body;
    const target = name ?? metadata.name;
    const present = this.objectsOf(kind).get(target);
    const revision = metadata.revision ?? url.searchParams.get('revision') ?? undefined;
    const refusal = refusalOf(method, present, revision);
    if (refusal) sendJson(response, refusal, present ?? {});
    else if (method === 'DELETE') sendJson(response, this.remove(kind, target) ? 200 : 404, {});
    else if (part === 'status') sendJson(response, 200, present ?? {});
    else sendJson(response, method === 'POST' ? 201 : 200, this.putFrom(kind, target, body.spec));
  }

  /** Writes an object for a client of the store. */
  putFrom(kind, name, spec) {
    if (kind === 'servers') this.entryWrites.set(name, Date.now());
    return this.put(kind, name, spec);
  }
}

/** Status with which a write is refused; undefined if it is done. */
function refusalOf(method, present, revision) {
  if (method === 'POST') return present ? 409 : undefined;
  if (revision === undefined) return undefined;
  if (!present) return 404;
  return Number(revision) === present.metadata.revision ? undefined : 409;
}
