/** A fake of the platform's object store over HTTP. */
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
import { withRawSpecs } from './raw-specs.js';
import { WireHeader, WireKind, sendJsonText, readBody } from './wire.js';

/** An engine's entry expires after three heartbeats without a write. */
const ENTRY_LIFETIME_MS = 3_600;
const EXPIRY_PERIOD_MS = 200;

const clock = new SystemClock();
const store = new SimulatedObjectStore(clock);
const port = new SimulatedStorePort(store, 'any', new HostClock(clock));
const lastWriteMs = new Map<string, number>();

interface WrittenObject {
  readonly metadata: { readonly name: string; readonly revision?: number };
  readonly spec: unknown;
}

function wireObject({ name, position, spec }: StoredObject): object {
  const { revision } = position;
  return { metadata: { name, revision, finalizers: [], deleting: false }, spec, status: {} };
}

/**
 * All responses contain the store era.
 *
 * @param era of the state in the body, which may be older than the store: lists are delayed
 */
function sendStoreResponse(
  response: ServerResponse,
  status: number,
  body: unknown,
  era = store.era,
): void {
  response.setHeader(WireHeader.storeEra, String(era));
  sendJsonText(response, status, withRawSpecs(JSON.stringify(body)));
}

async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://store');
  const [, , kind = '', name] = url.pathname.split('/');
  const body = await readBody(request);
  if (request.method === 'GET') return handleRead(url, kind, name, response);
  const written = JSON.parse(body || '{}') as WrittenObject;
  if (request.method === 'DELETE' && name) {
    store.remove(kind, name);
    sendStoreResponse(response, 200, {});
  } else await handleWrite(request.method ?? '', kind, written, response);
}

async function handleRead(
  url: URL,
  kind: string,
  name: string | undefined,
  response: ServerResponse,
): Promise<void> {
  if (name) {
    const { object } = await port.read(kind, name);
    sendStoreResponse(response, object ? 200 : 404, object ? wireObject(object) : {});
    return;
  }
  const since = url.searchParams.get('watch');
  if (since === null) {
    const { objects, position } = await port.list(kind);
    const list = { items: objects.map(wireObject), more: false, at: position.revision };
    sendStoreResponse(response, 200, list, position.era);
    return;
  }
  const requestedPosition = new StorePosition(store.era, Number(since));
  const result = await port.watch(kind, requestedPosition, Number(url.searchParams.get('wait_ms')));
  if (result.kind !== 'events') {
    sendStoreResponse(response, 410, {});
    return;
  }
  const events = result.events.map(({ object, isGone }) => ({
    object: wireObject(object),
    gone: isGone,
  }));
  const { revision, era } = result.position;
  sendStoreResponse(response, 200, { events, at: revision }, era);
}

async function handleWrite(
  method: string,
  kind: string,
  { metadata, spec }: WrittenObject,
  response: ServerResponse,
): Promise<void> {
  const { name, revision } = metadata;
  if (kind === WireKind.engines) lastWriteMs.set(name, Date.now());
  // Writes of engines and the operator are unconditional.
  if (method === 'PUT' && revision === undefined) {
    const isSame = isDeepStrictEqual(store.get(kind, name)?.spec, spec);
    if (store.isDown) throw new Error('down');
    if (!isSame) store.put(kind, name, spec);
    const object = await port.read(kind, name);
    sendStoreResponse(response, 200, wireObject(object.object as StoredObject));
    return;
  }
  const result =
    method === 'POST'
      ? await port.create(kind, name, spec)
      : await port.replace(kind, name, spec, new StorePosition(store.era, revision ?? 0));
  if (result.kind === 'written') sendStoreResponse(response, 200, wireObject(result.object));
  else if (result.kind === 'missing') sendStoreResponse(response, 404, {});
  else sendStoreResponse(response, 409, result.present ? wireObject(result.present) : {});
}

function expireEntries(): void {
  // Entries do not expire while engines cannot write; the platform does not guarantee this.
  if (store.isDown || store.isBusy) {
    for (const name of lastWriteMs.keys()) lastWriteMs.set(name, Date.now());
    return;
  }
  for (const [name, atMs] of lastWriteMs) {
    if (Date.now() - atMs < ENTRY_LIFETIME_MS) continue;
    lastWriteMs.delete(name);
    store.remove(WireKind.engines, name);
  }
}

function handleCommand(command: StoreCommand): void {
  switch (command.kind) {
    case 'condition':
      store.isDown = command.condition === 'silent';
      store.isBusy = command.condition === 'busy';
      return;
    case 'refuse-writes':
      store.refusesWrites = command.isRefusing;
      return;
    case 'write-faults':
      store.writeFaults.push(...command.faults);
      return;
    case 'compact':
      store.compact();
      return;
    case 'restore':
      store.restore(clock.now() - command.lostMs);
      for (const { name } of store.all(WireKind.engines)) lastWriteMs.set(name, Date.now());
      return;
    case 'delay-lists':
      store.listDelaysMs.push(...command.delaysMs);
  }
}

const server = createServer((request, response) => {
  handleRequest(request, response).catch(() => {
    // The caller receives 503 if the store is busy; otherwise the connection is closed.
    if (store.isBusy || store.refusesWrites) sendStoreResponse(response, 503, {});
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
process.on('message', (command) => handleCommand(command as StoreCommand));
process.on('disconnect', () => process.exit(0));
setInterval(expireEntries, EXPIRY_PERIOD_MS);
