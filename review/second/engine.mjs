/**
 * A stand-in engine, as PROTOCOL.md describes it: one process is one incarnation. The argument is a JSON
 * object: `id`, `service`, `zone`, `host`, `port`, `storePort`, `slots`, `workMs`, and for an engine of a
 * language model `model` and `version`. It reports to its parent what arrives, runs and is rejected.
 */
import http from 'node:http';
import process from 'node:process';
import { setInterval, setTimeout } from 'node:timers';
import { callJson, readText, sendJson } from './http.mjs';

const settings = JSON.parse(process.argv[2]);
const { id, service, zone, host, port, storePort, slots, workMs } = settings;

const HEARTBEAT_MS = 1_200;
const QUEUE_PLACES = 4;
const IDLE_TIMEOUT_MS = 30_000;
const EVENTS = settings.events ?? 6;

const LOAD_MS = 600;

let running = 0;
/** Orders taken. */
let sequence = 0;
let highestToken = 0;
/** Version of the weights that are being loaded; undefined if none are. */
let loading;
/** Requests left of those that are rejected as if the engine were full. */
let rejectionsLeft = 0;
/** Whether each rejection is followed by a late second copy of it on its connection. */
let repeatsRejections = false;
/** Status with which the next requests fail after they have run; undefined if they don't. */
let failureStatus;
/** One in so many streams ends early, in order and between two events; 0 if none does. */
let earlyInterval = 0;
let streams = 0;
/** Kept parts: by salt and part, the tenant whose request made it. */
const kept = new Map();

function report(message) {
  if (process.connected) process.send({ engine: id, atMs: Date.now(), ...message });
}

function entry() {
  const models = settings.model
    ? [{ name: settings.model, version: settings.version, adapters: [] }]
    : [];
  const stage = settings.model ? { stage: 'both', models } : {};
  return {
    ...{ service, address: `${host}:${port}`, zone, version: 'b1', slots },
    ...{ state: 'ready', cold_remaining_ms: 0, ...stage, sequence: 1 },
  };
}

async function beat() {
  const body = { metadata: { name: id }, spec: entry() };
  const target = { host: '127.0.0.1', port: storePort };
  await callJson({ ...target, method: 'PUT', path: `/objects/servers/${id}`, body }).catch(
    () => undefined,
  );
}

/** The parts of a prompt that are kept already, with the tenants whose requests made them. */
function usedParts(request) {
  const salt = request.headers['x-peatspan-cache-salt'] ?? '';
  const tenant = request.headers['x-peatspan-tenant'] ?? '';
  const parts = String(request.headers['x-peatspan-prompt-prefix'] ?? '')
    .split(',')
    .filter((part) => part !== '')
    .map((part) => part.split(':')[0]);
  const used = [];
  let isPrefix = true;
  for (const part of parts) {
    const key = `${salt} ${part}`;
    const maker = kept.get(key);
    isPrefix &&= maker !== undefined;
    if (isPrefix) used.push({ part, maker });
    else kept.set(key, tenant);
  }
  return used;
}

function headersOf(request) {
  return { 'X-Peatspan-Attempt-Id': request.headers['x-peatspan-attempt-id'] ?? '' };
}

function rejectionText(request, status, reason) {
  return [
    `HTTP/1.1 ${status} ${reason}`,
    `X-Peatspan-Attempt-Id: ${request.headers['x-peatspan-attempt-id']}`,
    'X-Peatspan-Not-Executed: 1',
    'Content-Length: 0',
    'Connection: keep-alive',
    '',
    '',
  ].join('\r\n');
}

/** Rejects a request; the engine does not run it. */
function reject(request, response, status) {
  const attemptId = request.headers['x-peatspan-attempt-id'];
  report({ kind: 'rejected', attemptId, status });
  response.writeHead(status, {
    ...headersOf(request),
    'X-Peatspan-Not-Executed': '1',
    'Content-Length': '0',
  });
  response.end();
  if (!repeatsRejections) return;
  const { socket } = request;
  // One answer too many arrives at the point where the next one is due.
  const sendAgain = (next) => {
    if (next.socket !== socket) return;
    server.off('request', sendAgain);
    report({ kind: 'answer too many', attemptId });
    socket.write(rejectionText(request, status, 'Service Unavailable'));
  };
  server.prependListener('request', sendAgain);
}

function statusAgainst(request) {
  const expected = request.headers['x-peatspan-expect-instance'];
  if (expected !== undefined && expected !== id) return 421;
  const version = request.headers['x-peatspan-expect-version'];
  if (version !== undefined && Number(version) !== settings.version) return 421;
  if (loading !== undefined) return 503;
  if (rejectionsLeft > 0) {
    rejectionsLeft -= 1;
    return 503;
  }
  return running >= slots + QUEUE_PLACES ? 503 : undefined;
}

function sealOf(request) {
  return `${id}.${request.headers['x-peatspan-attempt-id']}`;
}

async function serve(request, response) {
  const body = await readText(request);
  const attemptId = request.headers['x-peatspan-attempt-id'];
  const status = statusAgainst(request);
  if (status !== undefined) {
    reject(request, response, status);
    return;
  }
  running += 1;
  response.once('close', () => (running -= 1));
  const tenant = request.headers['x-peatspan-tenant'];
  const salt = request.headers['x-peatspan-cache-salt'];
  const used = settings.model ? usedParts(request) : [];
  report({
    kind: 'runs',
    attemptId,
    method: request.method,
    path: request.url,
    tenant,
    salt,
    used,
  });
  const headers = {
    ...headersOf(request),
    'X-Peatspan-Response-Seal': sealOf(request),
    ...(settings.model && { 'X-Peatspan-Weight-Versions': String(settings.version) }),
  };
  if (settings.model) stream(request, response, headers);
  else {
    setTimeout(() => {
      const text = `${attemptId} ${request.method} ${request.url} ${body.length}`;
      response.writeHead(failureStatus ?? 200, { ...headers, 'Content-Length': text.length });
      response.end(text);
    }, workMs);
  }
}

function stream(request, response, headers) {
  if (settings.isUnframed) {
    // Neither a length nor chunks: the answer ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  response.flushHeaders();
  let number = Number(request.headers['last-event-id'] ?? 0);
  const isFirst = number === 0;
  if (isFirst) streams += 1;
  const isEarly = isFirst && earlyInterval > 0 && streams % earlyInterval === 0;
  const last = isEarly ? EVENTS / 2 : EVENTS;
  if (isEarly)
    report({ kind: 'ends early', attemptId: headers['X-Peatspan-Attempt-Id'], events: last });
  const timer = setInterval(() => {
    if (number < last) {
      number += 1;
      response.write(`id: ${number}\ndata: token ${number}\n\n`);
      return;
    }
    timer.close();
    response.end();
  }, workMs);
  response.once('close', () => timer.close());
}

function sendReport(response) {
  const models = entry().models ?? [];
  const busy = loading !== undefined;
  const state = { stage: 'both', models, busy, sequence, queued: 0, running };
  sendJson(response, 200, { ...state, kv_used: 0, kv_total: 100_000, handles: 0 });
}

/** Takes or refuses an order; the engine checks fences. */
function statusOfOrder(request, { operation, holder, fencing_token: token, ...order }) {
  const expected = request.headers['x-peatspan-expect-instance'];
  if (expected !== undefined && expected !== id) return 421;
  if (operation !== 'version' || !holder || token === undefined) return 400;
  if (token < highestToken) return 412;
  highestToken = token;
  if (order.version <= settings.version) return 200;
  if (loading !== undefined) return 409;
  if (order.expected_revision !== undefined && order.expected_revision !== sequence) return 409;
  sequence += 1;
  loading = order.version;
  setTimeout(() => {
    settings.version = loading;
    loading = undefined;
    kept.clear();
    void beat();
  }, LOAD_MS);
  return 202;
}

async function handle(request, response) {
  const path = request.url.split('?')[0];
  if (path === '/report') sendReport(response);
  else if (path === '/order') {
    const order = JSON.parse(await readText(request));
    const status = statusOfOrder(request, order);
    const { holder, fencing_token: token, version } = order;
    report({ kind: 'order', holder, token, version, status });
    sendJson(response, status, {});
  } else if (path === '/kv-events') {
    const page = { boot_epoch: 1, next_page_token: 0, lost: false, events: [] };
    setTimeout(() => sendJson(response, 200, page), Number(request.headers['wait-ms'] ?? 0));
  } else if (path === '/kv-list') {
    sendJson(response, 200, { boot_epoch: 1, next_page_token: 0, held: [] });
  } else await serve(request, response);
}

const server = http.createServer((request, response) => {
  handle(request, response).catch(() => response.destroy());
});
server.keepAliveTimeout = IDLE_TIMEOUT_MS;
server.listen(port, host, () => {
  report({ kind: 'listening' });
  setInterval(() => void beat(), HEARTBEAT_MS);
  void beat();
});
process.on('message', (command) => {
  if (command.rejectionsLeft !== undefined) rejectionsLeft = command.rejectionsLeft;
  if (command.failureStatus !== undefined) failureStatus = command.failureStatus ?? undefined;
  if (command.earlyInterval !== undefined) earlyInterval = command.earlyInterval;
  if (command.repeatsRejections !== undefined) repeatsRejections = command.repeatsRejections;
});
process.on('disconnect', () => process.exit(0));
