/** JSON over HTTP to external systems; failures are reported as `ProtocolFailure`. */
import Wreck from '@hapi/wreck';
import http, { type IncomingMessage } from 'node:http';
import { ProtocolFailure } from './errors.js';

/** A JSON response of any status. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Error codes of connection attempts that fail before a request is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL']);

const keepAliveAgent = new http.Agent({ keepAlive: true });

/** Sends a request; rejects with a `ProtocolFailure` (`unreachable` only if nothing was sent). */
export async function openHttp(
  method: string,
  address: string,
  path: string,
  payload?: unknown,
  timeoutMs?: number,
): Promise<IncomingMessage> {
  try {
    return await Wreck.request(method, `http://${address}${path}`, {
      ...(payload === undefined ? {} : { payload: JSON.stringify(payload) }),
      ...(timeoutMs === undefined ? {} : { timeout: timeoutMs }),
      agent: keepAliveAgent,
      headers: { 'content-type': 'application/json' },
    });
  } catch (error) {
    throw toFailure(error, address);
  }
}

/** Sends a request and reads the JSON response. */
export async function exchangeJson(
  method: string,
  address: string,
  path: string,
  payload?: unknown,
  timeoutMs?: number,
): Promise<JsonResponse> {
  const response = await openHttp(method, address, path, payload, timeoutMs);
  let text: string;
  try {
    const options = timeoutMs === undefined ? {} : { timeout: timeoutMs };
    text = (await Wreck.read(response, options)).toString('utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new ProtocolFailure({ kind: 'interrupted', address, reason });
  }
  return { status: response.statusCode ?? 0, body: parseJson(text) };
}

/** Parses JSON, undefined for an empty text; throws a `malformed` failure for invalid JSON. */
export function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    throw new ProtocolFailure({ kind: 'malformed', reason: 'response body is not valid JSON' });
  }
}

function toFailure(error: unknown, address: string): ProtocolFailure {
  const code = errorCodeOf(error);
  const reason = error instanceof Error ? error.message : String(error);
  if (NOT_SENT_CODES.has(code))
    return new ProtocolFailure({ kind: 'unreachable', address, reason });
  return new ProtocolFailure({ kind: 'interrupted', address, reason });
}

function errorCodeOf(error: unknown): string {
  const candidate = error as { code?: unknown; data?: { code?: unknown } } | undefined;
  return String(candidate?.code ?? candidate?.data?.code ?? '');
}
