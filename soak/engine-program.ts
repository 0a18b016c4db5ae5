/**
 * A process that stands in for an engine of the users' platform: plain calls and streams, its entry in the
 * store, orders for weights. Arguments: name, service, address to publish, address of the store, version of
 * the weights. Each process is one life: it keeps nothing of an earlier one.
 */
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HttpStatus } from '../src/protocol/http-status.js';
import {
  CRASHING_BODY,
  EngineBehavior,
  type EngineCommand,
  type EngineReport,
} from './messages.js';
import { STREAM_EVENTS } from './stream-events.js';
import { MODEL, Service, WireHeader, WireKind, answerJson, callJson, readBody } from './wire.js';

const [name = '', service = '', publicAddress = '', storeAddress = ''] = process.argv.slice(2);

const HEARTBEAT_MS = 1_200;
const PLAIN_WORK_MS = 25;
const EVENT_GAP_MS = 15;
const SLOTS = 32;
const LOAD_MS = 300;
/** An engine that leaves serves on for this long after the store knows. */
const SERVES_ON_MS = 9_000;
const CRASH_DELAY_MS = 40;
const MILLISECONDS_PER_SECOND = 1_000;

/** Start of this life. */
const born = Date.now();
/** Identity of this life in what is reported to the oracle. */
const lifeId = `${name}@${born}`;

let behavior = EngineBehavior.Sound;
let isDraining = false;
/** What a refusal asks for; 0: nothing is refused for this reason. */
let backoffMs = 0;
/** Requests a second that its answers name; undefined: none. */
let limitPerSecond: number | undefined;
let running = 0;
let weightsVersion = Number(process.argv[6] ?? 1);
let loading: number | undefined;
let sequence = 0;
let highestToken = 0;

function report(message: EngineReport): void {
  process.send?.(message);
}

function entry(): object {
  const models = service === Service.generation ? [{ name: MODEL, version: weightsVersion }] : [];
  return {
    service,
    address: publicAddress,
    zone: 'zone-a',
    slots: SLOTS,
    state: isDraining ? 'draining' : 'ready',
    stage: 'both',
    models,
    born,
  };
}

async function writeEntry(): Promise<boolean> {
  const path = `/objects/${WireKind.engines}/${name}`;
  const body = { metadata: { name }, spec: entry() };
  try {
    const { status } = await callJson(storeAddress, 'PUT', path, body);
    return status === 200;
  } catch {
    // The store is away; the next heartbeat tries again.
    return false;
  }
}

async function drain(): Promise<void> {
  isDraining = true;
  while (!(await writeEntry())) await new Promise((resolve) => setTimeout(resolve, 100));
  report({ kind: 'draining', engineId: lifeId, atMs: Date.now() });
  setTimeout(() => process.exit(0), SERVES_ON_MS);
}

function refuse(response: ServerResponse, status: number, requestId: string): void {
  const isPauseAsked = status === HttpStatus.Unavailable && backoffMs > 0;
  tellNotice(response, requestId, isPauseAsked ? backoffMs : 0);
  response.writeHead(status, {
    [WireHeader.notExecuted]: '1',
    [WireHeader.attemptId]: requestId,
    'Content-Length': '0',
  });
  response.end();
}

/** Puts into an answer what it says of this engine, and tells the oracle. */
function tellNotice(response: ServerResponse, requestId: string, askedMs: number): void {
  if (!isDraining && askedMs === 0 && limitPerSecond === undefined) return;
  if (isDraining) response.setHeader(WireHeader.leaving, '1');
  if (askedMs > 0) response.setHeader(WireHeader.retryAfter, askedMs / MILLISECONDS_PER_SECOND);
  if (limitPerSecond !== undefined) response.setHeader(WireHeader.limit, limitPerSecond);
  report({
    kind: 'notice',
    requestId,
    engineId: lifeId,
    isLeaving: isDraining,
    backoffMs: askedMs,
    limitPerSecond,
    atMs: Date.now(),
  });
}

function nameLimit(perSecond: number | undefined): void {
  limitPerSecond = perSecond;
  report({ kind: 'limit', engineId: lifeId, perSecond, atMs: Date.now() });
}

/** Status with which a request is refused, not run; undefined where it runs. */
function refusalOf({ headers }: IncomingMessage): number | undefined {
  const expectedId = headers[WireHeader.expectInstance];
  if (expectedId !== undefined && expectedId !== name) return HttpStatus.Misdirected;
  const expectedVersion = headers[WireHeader.expectVersion];
  if (expectedVersion !== undefined && Number(expectedVersion) !== weightsVersion) {
    return HttpStatus.Misdirected;
  }
  if (backoffMs > 0) return HttpStatus.Unavailable;
  const hasNoPlace = running >= SLOTS || loading !== undefined;
  return hasNoPlace || behavior === EngineBehavior.Busy ? HttpStatus.Unavailable : undefined;
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const requestId = String(request.headers[WireHeader.attemptId] ?? '');
  report({ kind: 'arrival', requestId, engineId: lifeId, service, atMs: Date.now() });
  const body = await readBody(request);
  const named = request.headers[WireHeader.expectInstance]?.toString();
  if (named !== undefined && named !== name) {
    report({ kind: 'stray', requestId, named, atMs: Date.now() });
  }
  const refusal = refusalOf(request);
  if (refusal !== undefined) {
    refuse(response, refusal, requestId);
    return;
  }
  reportRun(request, requestId);
  running += 1;
  response.once('close', () => (running -= 1));
  if (body.startsWith(CRASHING_BODY)) {
    // It ends within its run: an answer that comes before would clear the request.
    crash(requestId);
    if (service !== Service.generation) return;
  }
  if (behavior === EngineBehavior.Hanging) return;
  const status = behavior === EngineBehavior.Failing ? 500 : 200;
  const headers = {
    [WireHeader.attemptId]: requestId,
    [WireHeader.seal]: `${name}.${requestId}`,
    [WireHeader.weightVersions]: String(weightsVersion),
  };
  if (service === Service.generation && status === 200) {
    stream(request, response, requestId, headers);
  } else {
    setTimeout(() => answerPlain(response, status, headers, `${requestId}:${body}`), PLAIN_WORK_MS);
  }
}

/** Ends this process a little later, as a fault in the engine's own code would. */
function crash(requestId: string): void {
  setTimeout(() => {
    process.send?.({ kind: 'crash', requestId, atMs: Date.now() } satisfies EngineReport, () =>
      process.exit(1),
    );
  }, CRASH_DELAY_MS);
}

function reportRun({ headers }: IncomingMessage, requestId: string): void {
  const text = (name: string): string | undefined => headers[name]?.toString();
  report({
    kind: 'run',
    requestId,
    engineId: lifeId,
    service,
    tenant: text(WireHeader.tenant),
    salt: text(WireHeader.salt),
    weightsVersion,
    startedMs: Date.now(),
  });
}

function answerPlain(
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: string,
): void {
  tellNotice(response, headers[WireHeader.attemptId] ?? '', 0);
  response.writeHead(status, { ...headers, 'Content-Length': String(Buffer.byteLength(body)) });
  if (behavior === EngineBehavior.Cutting) {
    response.write(body.slice(0, body.length / 2));
    setTimeout(() => response.destroy(), 1);
  } else response.end(body);
}

function stream(
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
  headers: Record<string, string>,
): void {
  tellNotice(response, requestId, 0);
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  let number = Number(request.headers[WireHeader.lastEventId] ?? 0);
  const cutAfter = behavior === EngineBehavior.Cutting ? STREAM_EVENTS / 2 : Infinity;
  const timer = setInterval(() => {
    number += 1;
    if (number > cutAfter) {
      clearInterval(timer);
      // Engines break off within an event, too.
      response.write(`id: ${number}\ndata: `, () => response.destroy());
      return;
    }
    response.write(`id: ${number}\ndata: ${requestId} ${number}\n\n`);
    if (number < STREAM_EVENTS) return;
    clearInterval(timer);
    response.end();
  }, EVENT_GAP_MS);
  response.once('close', () => clearInterval(timer));
}

interface Order {
  readonly version: number;
  readonly holder: string;
  readonly fencing_token: number;
  readonly expected_revision?: number;
}

/** Takes an order; answers its status. */
function takeOrder(order: Order): number {
  if (order.fencing_token < highestToken) return 412;
  highestToken = order.fencing_token;
  const token = order.fencing_token;
  report({ kind: 'order', engineId: lifeId, holder: order.holder, token, atMs: Date.now() });
  if (loading !== undefined) return 409;
  if (order.expected_revision !== undefined && order.expected_revision !== sequence) return 409;
  if (order.version <= weightsVersion) return 200;
  sequence += 1;
  loading = order.version;
  setTimeout(() => {
    weightsVersion = loading ?? weightsVersion;
    loading = undefined;
    // The entry follows with the next heartbeat: until then only orders and reports show the version.
    report({ kind: 'weights', version: weightsVersion });
  }, LOAD_MS);
  return 202;
}

function answerReport(response: ServerResponse): void {
  answerJson(response, 200, {
    born,
    stage: 'both',
    models: [{ name: MODEL, version: weightsVersion, adapters: [] }],
    busy: loading !== undefined,
    sequence,
    queued: 0,
    running,
    kv_used: 0,
    kv_total: 100_000,
    handles: 0,
  });
}

async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (isDraining) response.setHeader(WireHeader.leaving, '1');
  const path = (request.url ?? '/').split('?')[0];
  if (path === '/report') answerReport(response);
  else if (path === '/order') {
    const order = JSON.parse(await readBody(request)) as Order;
    answerJson(response, takeOrder(order), { born });
  } else if (path === '/kv-events') {
    const events = { born, boot_epoch: born, next_page_token: 0, lost: false, events: [] };
    setTimeout(() => answerJson(response, 200, events), 500);
  } else if (path === '/kv-list') {
    answerJson(response, 200, { born, boot_epoch: born, next_page_token: 0, held: [] });
  } else await serve(request, response);
}

const server = createServer((request, response) => {
  // A caller that leaves while its request is read needs no answer.
  answer(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 5_000;
server.listen(0, '127.0.0.1', () => {
  report({ kind: 'listening', port: (server.address() as AddressInfo).port });
});
process.on('message', (message) => {
  const command = message as EngineCommand;
  if (command.kind === 'behave') behavior = command.behavior;
  else if (command.kind === 'ask-pause') backoffMs = command.backoffMs;
  else if (command.kind === 'limit') nameLimit(command.perSecond ?? undefined);
  else void drain();
});
process.on('disconnect', () => process.exit(0));
setInterval(() => void writeEntry(), HEARTBEAT_MS);
void writeEntry();
