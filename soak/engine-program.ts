/**
 * A fake engine: serves plain calls and streams, writes its entry in the store and executes load
 * commands. Each process is one incarnation. Arguments: name, service, address to publish, address
 * of the store, version of the weights, slots, time for a plain request in milliseconds, build, and
 * one in how many responses has neither a length nor chunks.
 */
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { HttpStatus } from '../src/protocol/http-status.js';
import {
  CRASHING_BODY_PREFIX,
  CRASHING_PART_PREFIX,
  EngineBehavior,
  type EngineCommand,
  type EngineReport,
  type LoadCommand,
} from './messages.js';
import { CALL_PATHS } from './callers.js';
import { EngineRoom } from './engine-room.js';
import { misbehave } from './misbehaving-responses.js';
import { endWithConnection } from './spoiled-responses.js';
import { shapeOf } from './stream-events.js';
import { MODEL, Service, WireHeader, WireKind, sendJson, callJson, readBody } from './wire.js';

const [name = '', service = '', publicAddress = '', storeAddress = ''] = process.argv.slice(2);

const HEARTBEAT_MS = 1_200;
const LOAD_MS = 300;
const MINIMUM_CACHE_TOKENS = 100_000;
const CACHE_TOKENS_PER_SLOT = 3_000;
/** How long a draining engine keeps serving after the store has accepted its state. */
const DRAIN_MS = 9_000;
const CRASH_DELAY_MS = 40;
/** Delay of a crash after the response head, before the response can be complete. */
const CRASH_AFTER_HEAD_MS = 10;
const MILLISECONDS_PER_SECOND = 1_000;

const startedAtMs = Date.now();
/** Identifier of this incarnation in reports to the oracle. */
const incarnationId = `${name}@${startedAtMs}`;

let behavior = EngineBehavior.Healthy;
let isDraining = false;
/** Retry delay with which requests are rejected; 0 if they are accepted. */
let backoffMs = 0;
/** Announced limit on requests per second. */
let limitPerSecond: number | undefined;
const room = new EngineRoom(Number(process.argv[7]));
const plainWorkMs = Number(process.argv[8]);
const build = process.argv[9] ?? '';
const unframedInterval = Number(process.argv[10]);
let weightsVersion = Number(process.argv[6] ?? 1);
let loading: number | undefined;
let sequence = 0;
/** Responses that this engine broke off. */
const brokenOff = new WeakSet<ServerResponse>();
let highestFencingToken = 0;

function report(message: EngineReport): void {
  // The soak may have ended, and with it the channel; `disconnect` then ends this process.
  if (process.connected) process.send?.(message);
}

function engineEntry(): object {
  const models = service === Service.generation ? [{ name: MODEL, version: weightsVersion }] : [];
  return {
    service,
    address: publicAddress,
    zone: 'zone-a',
    slots: room.slots,
    version: build,
    state: isDraining ? 'draining' : 'ready',
    stage: 'both',
    models,
    born: startedAtMs,
  };
}

async function writeEntry(): Promise<boolean> {
  const path = `/objects/${WireKind.engines}/${name}`;
  const body = { metadata: { name }, spec: engineEntry() };
  try {
    const { status } = await callJson(storeAddress, 'PUT', path, body);
    return status === 200;
  } catch {
    // The store is unavailable; the next heartbeat retries.
    return false;
  }
}

async function drain(): Promise<void> {
  isDraining = true;
  while (!(await writeEntry())) await new Promise((resolve) => setTimeout(resolve, 100));
  report({ kind: 'draining', engineId: incarnationId, atMs: Date.now() });
  setTimeout(() => process.exit(0), DRAIN_MS);
}

function reject(response: ServerResponse, status: number, requestId: string): void {
  const isBackoffRequested = status === HttpStatus.Unavailable && backoffMs > 0;
  addNotice(response, requestId, isBackoffRequested ? backoffMs : 0);
  response.writeHead(status, {
    [WireHeader.notExecuted]: '1',
    [WireHeader.attemptId]: requestId,
    'Content-Length': '0',
  });
  response.end();
}

/** Adds the headers on the state of this engine to a response and reports them to the oracle. */
function addNotice(response: ServerResponse, requestId: string, requestedBackoffMs: number): void {
  if (room.tolerance !== undefined) response.setHeader(WireHeader.brittle, room.tolerance);
  if (!isDraining && requestedBackoffMs === 0 && limitPerSecond === undefined) return;
  if (isDraining) response.setHeader(WireHeader.leaving, '1');
  if (requestedBackoffMs > 0)
    response.setHeader(WireHeader.retryAfter, requestedBackoffMs / MILLISECONDS_PER_SECOND);
  if (limitPerSecond !== undefined) response.setHeader(WireHeader.limit, limitPerSecond);
  report({
    kind: 'notice',
    requestId,
    engineId: incarnationId,
    isLeaving: isDraining,
    backoffMs: requestedBackoffMs,
    limitPerSecond,
    atMs: Date.now(),
  });
}

function setRateLimit(perSecond: number | undefined): void {
  limitPerSecond = perSecond;
  report({ kind: 'limit', engineId: incarnationId, perSecond, atMs: Date.now() });
}

/** Status with which a request is rejected; undefined if it is executed. */
function rejectionStatusOf({ headers }: IncomingMessage): number | undefined {
  const expectedId = headers[WireHeader.expectInstance];
  if (expectedId !== undefined && expectedId !== name) return HttpStatus.Misdirected;
  const expectedVersion = headers[WireHeader.expectVersion];
  if (expectedVersion !== undefined && Number(expectedVersion) !== weightsVersion) {
    return HttpStatus.Misdirected;
  }
  if (backoffMs > 0) return HttpStatus.Unavailable;
  const isUnavailable = room.isFull || loading !== undefined;
  return isUnavailable || behavior === EngineBehavior.Busy ? HttpStatus.Unavailable : undefined;
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const requestId = String(request.headers[WireHeader.attemptId] ?? '');
  report({ kind: 'arrival', requestId, engineId: incarnationId, service, atMs: Date.now() });
  const body = await readBody(request);
  reportIfStray(request, requestId);
  const rejectionStatus = rejectionStatusOf(request);
  if (rejectionStatus !== undefined) {
    const isForRoom = rejectionStatus === HttpStatus.Unavailable && room.isFull;
    if (isForRoom) noteRejectionForRoom(requestId);
    reject(response, rejectionStatus, requestId);
    return;
  }
  reportRun(request, requestId);
  response.once('close', () => reportRunEnd(response, requestId));
  response.once('close', room.take());
  scheduleCrash(request, body, requestId);
  const isUnanswered = body.startsWith(CRASHING_BODY_PREFIX) && service !== Service.generation;
  if (isUnanswered || behavior === EngineBehavior.Hanging) return;
  respond(request, response, requestId, `${requestId}:${body}`);
}

/** Sends the response to a request that was executed. */
function respond(
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
  plainBody: string,
): void {
  const status = behavior === EngineBehavior.Failing ? 500 : 200;
  const headers = {
    [WireHeader.attemptId]: requestId,
    [WireHeader.seal]: `${name}.${requestId}`,
    [WireHeader.weightVersions]: String(weightsVersion),
  };
  const isStream = service === Service.generation;
  const result = misbehave(behavior, response, {
    headers,
    requestId,
    plainBody,
    isStream,
    isStreamOnce: isStreamOnce(request),
    shape: shapeOf(request.headers),
    lastEvent: Number(request.headers[WireHeader.lastEventId] ?? 0),
    build,
  });
  if (result?.isBrokenOff) brokenOff.add(response);
  if (result) return;
  if (isStream && status === 200) stream(request, response, requestId, headers);
  else setTimeout(() => sendPlainResponse(response, status, headers, plainBody), plainWorkMs);
}

/** Reports a request that is addressed to another engine. */
function reportIfStray({ headers }: IncomingMessage, requestId: string): void {
  const expectedEngine = headers[WireHeader.expectInstance]?.toString();
  if (expectedEngine === undefined || expectedEngine === name) return;
  report({ kind: 'stray', requestId, named: expectedEngine, atMs: Date.now() });
}

/** Ends this process if it is brittle and has rejected too many requests for want of room. */
function noteRejectionForRoom(requestId: string): void {
  const atMs = Date.now();
  const requestIds = room.noteRejection(requestId, atMs);
  if (!requestIds) return;
  const fall: EngineReport = { kind: 'fall', engineId: incarnationId, requestIds, atMs };
  process.send?.(fall, () => process.exit(1));
}

/** Lets this process crash if the request or a part of its prompt crashes engines. */
function scheduleCrash(request: IncomingMessage, body: string, requestId: string): void {
  // The crash must precede the whole response, which would lift the suspicion of the request.
  if (body.startsWith(CRASHING_BODY_PREFIX)) crash(requestId, CRASH_DELAY_MS);
  else if (hasCrashingPart(request)) crash(requestId, CRASH_AFTER_HEAD_MS);
}

/** Whether a shared part of the prompt crashes engines; the last part is not shared. */
function hasCrashingPart({ headers }: IncomingMessage): boolean {
  if (service !== Service.generation) return false;
  const parts = String(headers[WireHeader.promptPrefix] ?? '').split(',');
  return parts.slice(0, -1).some((part) => part.startsWith(CRASHING_PART_PREFIX));
}

/** Ends this process after a delay, as a fault in the engine would. */
function crash(requestId: string, delayMs: number): void {
  setTimeout(() => {
    process.send?.({ kind: 'crash', requestId, atMs: Date.now() } satisfies EngineReport, () =>
      process.exit(1),
    );
  }, delayMs);
}

function reportRun({ headers }: IncomingMessage, requestId: string): void {
  const headerText = (name: string): string | undefined => headers[name]?.toString();
  report({
    kind: 'run',
    requestId,
    engineId: incarnationId,
    service,
    tenant: headerText(WireHeader.tenant),
    salt: headerText(WireHeader.salt),
    weightsVersion,
    startedMs: Date.now(),
  });
}

function reportRunEnd(response: ServerResponse, requestId: string): void {
  const end = { isBrokenOff: brokenOff.has(response), endedMs: Date.now() };
  report({ kind: 'run-end', requestId, engineId: incarnationId, ...end });
}

/** Whether the request is for a stream that may not be resumed. */
function isStreamOnce({ url = '' }: IncomingMessage): boolean {
  return url.startsWith(CALL_PATHS['stream-once']);
}

/** Closes the connection within a response. */
function breakOff(response: ServerResponse): void {
  brokenOff.add(response);
  response.destroy();
}

function sendPlainResponse(
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: string,
): void {
  addNotice(response, headers[WireHeader.attemptId] ?? '', 0);
  if (isUnframed(headers[WireHeader.attemptId] ?? '')) endWithConnection(response);
  else response.setHeader('Content-Length', Buffer.byteLength(body));
  response.writeHead(status, headers);
  if (behavior === EngineBehavior.Truncating) {
    response.write(body.slice(0, body.length / 2));
    setTimeout(() => breakOff(response), 1);
  } else response.end(body);
}

function stream(
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
  headers: Record<string, string>,
): void {
  addNotice(response, requestId, 0);
  if (isUnframed(requestId)) endWithConnection(response);
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  let number = Number(request.headers[WireHeader.lastEventId] ?? 0);
  const { events, eventGapMs } = shapeOf(request.headers);
  const cutAfter = behavior === EngineBehavior.Truncating ? events / 2 : Infinity;
  const timer = setInterval(() => {
    // A stream that was broken off after its last event has nothing left but its end.
    if (number >= events) {
      clearInterval(timer);
      response.end();
      return;
    }
    number += 1;
    if (number > cutAfter) {
      clearInterval(timer);
      // The stream ends within an event.
      response.write(`id: ${number}\ndata: `, () => breakOff(response));
      return;
    }
    response.write(`id: ${number}\nevent: ${build}\ndata: ${requestId} ${number}\n\n`);
    if (number < events) return;
    clearInterval(timer);
    response.end();
  }, eventGapMs);
  response.once('close', () => clearInterval(timer));
}

/** Whether the response has neither a length nor chunks, in turn for each caller. */
function isUnframed(requestId: string): boolean {
  const count = Number(requestId.split('-').at(-1));
  return unframedInterval > 0 && count % unframedInterval === 1;
}

/** Applies a load command; returns the status of the response. */
function handleLoadCommand(command: LoadCommand): number {
  if (command.fencing_token < highestFencingToken) return 412;
  highestFencingToken = command.fencing_token;
  const token = command.fencing_token;
  report({
    kind: 'order',
    engineId: incarnationId,
    holder: command.holder,
    token,
    atMs: Date.now(),
  });
  if (loading !== undefined) return 409;
  if (command.expected_revision !== undefined && command.expected_revision !== sequence) return 409;
  if (command.version <= weightsVersion) return 200;
  sequence += 1;
  loading = command.version;
  setTimeout(() => {
    weightsVersion = loading ?? weightsVersion;
    loading = undefined;
    // The entry changes with the next heartbeat; until then only reports contain the version.
    report({ kind: 'weights', version: weightsVersion });
  }, LOAD_MS);
  return 202;
}

function sendReport(response: ServerResponse): void {
  sendJson(response, 200, {
    born: startedAtMs,
    stage: 'both',
    models: [{ name: MODEL, version: weightsVersion, adapters: [] }],
    busy: loading !== undefined,
    sequence,
    queued: 0,
    running: room.runningRequests,
    kv_used: 0,
    kv_total: Math.max(MINIMUM_CACHE_TOKENS, room.slots * CACHE_TOKENS_PER_SLOT),
    handles: 0,
  });
}

async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (isDraining) response.setHeader(WireHeader.leaving, '1');
  const path = (request.url ?? '/').split('?')[0];
  if (path === '/report') sendReport(response);
  else if (path === '/order') {
    const command = JSON.parse(await readBody(request)) as LoadCommand;
    sendJson(response, handleLoadCommand(command), { born: startedAtMs });
  } else if (path === '/kv-events') {
    const events = {
      born: startedAtMs,
      boot_epoch: startedAtMs,
      next_page_token: 0,
      lost: false,
      events: [],
    };
    setTimeout(() => sendJson(response, 200, events), 500);
  } else if (path === '/kv-list') {
    sendJson(response, 200, {
      born: startedAtMs,
      boot_epoch: startedAtMs,
      next_page_token: 0,
      held: [],
    });
  } else await serve(request, response);
}

const server = createServer((request, response) => {
  // Fails if the caller disconnects while its request is read.
  handleRequest(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 5_000;
server.listen(0, '127.0.0.1', () => {
  report({ kind: 'listening', port: (server.address() as AddressInfo).port });
});
process.on('message', (message) => {
  const command = message as EngineCommand;
  if (command.kind === 'behave') behavior = command.behavior;
  else if (command.kind === 'ask-pause') backoffMs = command.backoffMs;
  else if (command.kind === 'limit') setRateLimit(command.perSecond ?? undefined);
  else if (command.kind === 'brittle')
    room.setTolerance(command.tolerance ?? undefined, command.failsFromMs);
  else void drain();
});
process.on('disconnect', () => process.exit(0));
setInterval(() => void writeEntry(), HEARTBEAT_MS);
void writeEntry();
