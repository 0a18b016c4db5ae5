/** Implements the plain back end port over HTTP (docs/INTERFACES.md, "Plain back end"). */
import { HttpStatus } from '../http-status.js';
import { z } from 'zod';
import { toProtocolError } from '../errors.js';
import { type JsonResponse, exchangeJson } from '../http-json.js';
import type {
  BackendResponse,
  BackendInvocation,
  InvocationResult,
  LookupResult,
  PlainBackendPort,
} from './port.js';

const LOOKUP_TIMEOUT_MS = 1_000;

const refusalSchema = z.object({ not_run: z.literal(true), reason: z.string() });
const lookupSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('answered'), status: z.number().int(), body: z.unknown() }),
  z.object({ state: z.literal('running') }),
  z.object({ state: z.literal('fenced'), first: z.boolean() }),
]);

/** Client of plain back ends over HTTP. */
export class HttpPlainBackendClient implements PlainBackendPort {
  async invoke(address: string, invocation: BackendInvocation): Promise<InvocationResult> {
    const { requestId, tenant, service, operation, timeoutMs } = invocation;
    const path = `/v1/${encodeURIComponent(service)}/${encodeURIComponent(operation)}`;
    const payload = {
      request_id: requestId,
      tenant,
      arguments: JSON.parse(Buffer.from(invocation.payload).toString('utf8')) as unknown,
    };
    try {
      return toInvocationResult(await exchangeJson('POST', address, path, payload, timeoutMs));
    } catch (error) {
      return toInvocationFailure(error, address);
    }
  }

  async lookup(address: string, requestId: string): Promise<LookupResult> {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    try {
      const response = await exchangeJson('GET', address, path, undefined, LOOKUP_TIMEOUT_MS);
      const lookup = lookupSchema.safeParse(response.body);
      if (!lookup.success) return { kind: 'unavailable' };
      return toLookupResult(lookup.data);
    } catch {
      return { kind: 'unavailable' };
    }
  }
}

function toLookupResult(body: z.infer<typeof lookupSchema>): LookupResult {
  switch (body.state) {
    case 'answered':
      return { kind: 'answered', answer: toBackendAnswer(body.status, body.body) };
    case 'running':
      return { kind: 'running' };
    case 'fenced':
      return { kind: 'fenced', first: body.first };
  }
}

function toInvocationResult(response: JsonResponse): InvocationResult {
  const refusal = refusalSchema.safeParse(response.body);
  if (refusal.success) return { kind: 'refused', reason: refusal.data.reason };
  if (response.status >= HttpStatus.ServerError) {
    return { kind: 'interrupted', reason: `status ${response.status}` };
  }
  return { kind: 'answered', answer: toBackendAnswer(response.status, response.body) };
}

function toInvocationFailure(error: unknown, address: string): InvocationResult {
  const cause = toProtocolError(error, address);
  if (cause.kind === 'unreachable') return { kind: 'unreachable', reason: cause.reason };
  return { kind: 'interrupted', reason: 'connection lost' };
}

function toBackendAnswer(status: number, body: unknown): BackendResponse {
  return { status, body: new TextEncoder().encode(JSON.stringify(body)) };
}
