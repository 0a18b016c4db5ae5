/** Sends the requests of callers and records their responses. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from 'node:http';
import type { Socket } from 'node:net';
import { parseAddress } from '../src/transport/address.js';
import { CALL_PATHS, type CallRecord } from './callers.js';
import { headersOfShape } from './stream-events.js';
import { STREAM_PROMPT_TOKENS } from './tenant-quotas.js';
import { HOST, MODEL, WireHeader } from './wire.js';

/** The connection of a request, and how its body is sent. */
export interface Sending {
  /** Connections that are reused; by default the request has one of its own. */
  readonly agent?: Agent;
  /** A connection that is open already. */
  readonly socket?: Socket;
  /** Time between the parts of a body in chunks; by default the body has a length. */
  readonly partGapMs?: number;
}

/** Sends a request; resolves when it has ended, which the record then tells. */
export async function sendCall(record: CallRecord, sending: Sending): Promise<void> {
  await exchange(record, sending);
  record.endedMs = Date.now();
}

function exchange(record: CallRecord, { agent, socket, partGapMs }: Sending): Promise<void> {
  const { host, port } = parseAddress(record.router);
  return new Promise((resolve) => {
    const request = httpRequest({
      host,
      port,
      path: `${CALL_PATHS[record.kind]}x`,
      method: 'POST',
      agent: socket ? undefined : (agent ?? false),
      headers: headersOf(record),
      timeout: record.budgetMs,
      ...(socket ? { createConnection: () => socket } : {}),
    });
    const fail = (reason: string): void => {
      record.failure ??= reason;
      request.destroy();
      resolve();
    };
    const timer = setTimeout(() => fail('deadline'), record.budgetMs);
    request.on('close', () => clearTimeout(timer));
    request.on('error', (error) => fail(error.message));
    request.on('finish', () => (record.bodySentMs = Date.now()));
    request.on('response', (response) => readResponse(response, record, fail, resolve));
    if (partGapMs === undefined) request.end(record.sentBody);
    else sendParts(request, record.sentBody, partGapMs);
  });
}

/** Sends a body in chunks, with a pause before each but the first. */
function sendParts(request: ClientRequest, body: string, gapMs: number): void {
  request.write(body.slice(0, 1));
  setTimeout(() => {
    if (request.destroyed) return;
    request.write(body.slice(1));
    setTimeout(() => request.end(), gapMs);
  }, gapMs);
}

function headersOf(record: CallRecord): Record<string, string> {
  const { id, kind, key, sharedPart, continued, shape, budgetMs } = record;
  const sharedPrompt = sharedPart === undefined ? 'aa:800' : `aa:400,${sharedPart}:400`;
  const resumption = continued && {
    [WireHeader.lastEventId]: String(continued.lastEvent),
    [WireHeader.resumes]: continued.firstAttempt,
  };
  const generation = {
    [WireHeader.model]: MODEL,
    [WireHeader.tokenUsage]: `${STREAM_PROMPT_TOKENS},${shape.events}`,
    [WireHeader.promptPrefix]: `${sharedPrompt},${id.replaceAll('-', '')}:100`,
    ...headersOfShape(shape),
  };
  return {
    Host: HOST,
    [WireHeader.attemptId]: id,
    [WireHeader.apiKey]: key.key,
    [WireHeader.budgetMs]: String(budgetMs),
    ...(kind.startsWith('stream') ? generation : {}),
    ...resumption,
  };
}

function readResponse(
  response: IncomingMessage,
  record: CallRecord,
  fail: (reason: string) => void,
  onEnd: () => void,
): void {
  record.status = response.statusCode;
  const retryAfter = response.headers['retry-after'];
  record.retryAfterS = retryAfter === undefined ? undefined : Number(retryAfter);
  response.on('data', (chunk: Buffer) => (record.body += chunk.toString('utf8')));
  response.on('error', (error) => fail(error.message));
  response.on('end', () => {
    // Node.js also ends, and calls complete, a response without a length whose connection was reset.
    record.isComplete = response.complete && record.failure === undefined;
    record.isFramed =
      'content-length' in response.headers || 'transfer-encoding' in response.headers;
    if (record.isComplete) onEnd();
    else fail('incomplete');
  });
}
