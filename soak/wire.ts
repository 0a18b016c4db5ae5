/** Protocol names used by the fake engines and store, and helpers for JSON over HTTP. */
import { type IncomingMessage, type ServerResponse, request as httpRequest } from 'node:http';
import { parseAddress } from '../src/transport/address.js';

/** Headers, in lower case as Node.js reports them. */
export const WireHeader = {
  attemptId: 'x-peatspan-attempt-id',
  seal: 'x-peatspan-response-seal',
  notExecuted: 'x-peatspan-not-executed',
  expectInstance: 'x-peatspan-expect-instance',
  expectVersion: 'x-peatspan-expect-version',
  weightVersions: 'x-peatspan-weight-versions',
  tenant: 'x-peatspan-tenant',
  salt: 'x-peatspan-cache-salt',
  budgetMs: 'x-peatspan-time-budget-ms',
  model: 'x-peatspan-model',
  tokenUsage: 'x-peatspan-token-usage',
  promptPrefix: 'x-peatspan-prompt-prefix',
  lastEventId: 'last-event-id',
  resumes: 'resumes',
  apiKey: 'api-key',
  leaving: 'server-leaving',
  retryAfter: 'retry-after',
  limit: 'server-limit',
  brittle: 'server-brittle',
  storeEra: 'store-era',
} as const;

/** Kinds of object in the store. */
export const WireKind = {
  configuration: 'config',
  engines: 'servers',
  weights: 'versions',
} as const;

/** The services of the soak and their routes. */
export const Service = { plain: 'plain-service', generation: 'model-service' } as const;
export const MODEL = 'model-a';
export const HOST = 'soak.example';

/** Reads a complete body as text. */
export async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  sendJsonText(response, status, JSON.stringify(body));
}

export function sendJsonText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/** Sends one JSON request on a new connection; rejects without a complete response in time. */
export function callJson(
  address: string,
  method: string,
  path: string,
  body?: unknown,
  timeoutMs = 1_000,
): Promise<{ status: number; body: unknown }> {
  const { host, port } = parseAddress(address);
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve, reject) => {
    const headers = text === undefined ? {} : { 'Content-Length': Buffer.byteLength(text) };
    const request = httpRequest(
      { host, port, method, path, agent: false, timeout: timeoutMs, headers },
      (response) => {
        readBody(response).then(
          (responseBody) =>
            resolve({ status: response.statusCode ?? 0, body: JSON.parse(responseBody || '{}') }),
          reject,
        );
      },
    );
    request.on('timeout', () => request.destroy(new Error(`no response from ${address}${path}`)));
    request.on('error', reject);
    request.end(text);
  });
}
