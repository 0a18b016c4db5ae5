/** A process that stands in for the platform's store: objects over HTTP, as the users' pages describe. */
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { isDeepStrictEqual } from 'node:util';
import { SimulatedObjectStore } from '../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../src/lab/gateway-simulation/simulated-store-port.js';
import { HostClock } from '../src/lab/simulation/host-clock.js';
import type { StoredObject } from '../src/protocol/object-store/port.js';
import { SystemClock } from '../src/runtime/clock.js';
import { StorePosition } from '../src/runtime/store-position.js';
import type { StoreCommand, StoreReport } from './messages.js';
import { WireHeader, WireKind, answerJson, readBody } from './wire.js';

/** An engine's entry goes after three heartbeats without a write. */
const ENTRY_LIFETIME_MS = 3_600;
const EXPIRY_PERIOD_MS = 200;

const clock = new SystemClock();
const store = new SimulatedObjectStore(clock);
const port = new SimulatedStorePort(store, 'any', new HostClock(clock));
const writtenMs = new Map<string, number>();

interface WrittenObject {
  readonly metadata: { readonly name: string; readonly revision?: number };
  readonly spec: unknown;
}

function wireObject({ name, position, spec }: StoredObject): object {
  const { revision } = position;
  return { metadata: { name, revision, finalizers: [], deleting: false }, spec, status: {} };
}

/** All answers say the era. */
function answerStored(response: ServerResponse, status: number, body: unknown): void {
  response.setHeader(WireHeader.storeEra, String(store.era));
  answerJson(response, status, body);
}

async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://store');
  const [, , kind = '', name] = url.pathname.split('/');
  const body = await readBody(request);
  if (request.method === 'GET') return answerRead(url, kind, name, response);
  const written = JSON.parse(body || '{}') as WrittenObject;
  if (request.method === 'DELETE' && name) {
    store.remove(kind, name);
    answerStored(response, 200, {});
  } else await answerWrite(request.method ?? '', kind, written, response);
}

async function answerRead(
  url: URL,
  kind: string,
  name: string | undefined,
  response: ServerResponse,
): Promise<void> {
  if (name) {
    const { object } = await port.read(kind, name);
    answerStored(response, object ? 200 : 404, object ? wireObject(object) : {});
    return;
  }
  const since = url.searchParams.get('watch');
  if (since === null) {
    const { objects, position } = await port.list(kind);
    answerStored(response, 200, {
      items: objects.map(wireObject),
      more: false,
      at: position.revision,
    });
    return;
  }
  const asked = new StorePosition(store.era, Number(since));
  const result = await port.watch(kind, asked, Number(url.searchParams.get('wait_ms')));
  if (result.kind === 'history-gone') {
    answerStored(response, 410, {});
    return;
  }
  const events = result.events.map(({ object, isGone }) => ({
    object: wireObject(object),
    gone: isGone,
  }));
  answerStored(response, 200, { events, at: result.position.revision });
}

async function answerWrite(
  method: string,
  kind: string,
  { metadata, spec }: WrittenObject,
  response: ServerResponse,
): Promise<void> {
  const { name, revision } = metadata;
  if (kind === WireKind.engines) writtenMs.set(name, Date.now());
  // Engines and the operator write without a condition.
  if (method === 'PUT' && revision === undefined) {
    const isSame = isDeepStrictEqual(store.get(kind, name)?.spec, spec);
    if (store.isDown) throw new Error('down');
    if (!isSame) store.put(kind, name, spec);
    const object = await port.read(kind, name);
    answerStored(response, 200, wireObject(object.object as StoredObject));
    return;
  }
  const result =
    method === 'POST'
      ? await port.create(kind, name, spec)
      : await port.replace(kind, name, spec, new StorePosition(store.era, revision ?? 0));
  if (result.kind === 'written') answerStored(response, 200, wireObject(result.object));
  else if (result.kind === 'missing') answerStored(response, 404, {});
  else answerStored(response, 409, result.present ? wireObject(result.present) : {});
}

function expireEntries(): void {
  // What could not be written does not run out here; on the platform it may.
  if (store.isDown || store.isBusy) {
    for (const name of writtenMs.keys()) writtenMs.set(name, Date.now());
    return;
  }
  for (const [name, atMs] of writtenMs) {
    if (Date.now() - atMs < ENTRY_LIFETIME_MS) continue;
    writtenMs.delete(name);
    store.remove(WireKind.engines, name);
  }
}

function obey(command: StoreCommand): void {
  switch (command.kind) {
    case 'condition':
      store.isDown = command.condition === 'silent';
      store.isBusy = command.condition === 'busy';
      return;
    case 'compact':
      store.compact();
      return;
    case 'restore':
      store.restore(clock.now() - command.lostMs);
      for (const { name } of store.all(WireKind.engines)) writtenMs.set(name, Date.now());
      return;
    case 'delay-lists':
      store.listDelaysMs.push(...command.delaysMs);
  }
}

const server = createServer((request, response) => {
  answer(request, response).catch(() => {
    // Refused or silent: the caller sees a connection that ends without an answer, or 503.
    if (store.isBusy) answerStored(response, 503, {});
    else response.destroy();
  });
});
server.listen(0, '127.0.0.1', () => {
  const report: StoreReport = {
    kind: 'listening',
    port: (server.address() as AddressInfo).port,
  };
  process.send?.(report);
});
process.on('message', (command) => obey(command as StoreCommand));
process.on('disconnect', () => process.exit(0));
setInterval(expireEntries, EXPIRY_PERIOD_MS);
