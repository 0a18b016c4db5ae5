/** Headers of caller requests: bearer key, idempotency key, deadline and priority. */
import type Hapi from '@hapi/hapi';
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import { type ApiError, invalidKey, invalidRequest, notReady } from './api-error.js';

/** Validated header values of a request. */
export interface RequestContext {
  readonly tenant: string;
  readonly requestId: string;
  /** Value of the `Idempotency-Key` header, if any. */
  readonly idempotencyKey: string | undefined;
  readonly deadlineMs: number;
  readonly priority: number;
}

/** The context, or the error for which the request is rejected. */
export type ContextResult =
  | { readonly kind: 'ok'; readonly context: RequestContext }
  | { readonly kind: 'refused'; readonly error: ApiError };

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;
const MAXIMUM_KEY_LENGTH = 255;
const MINIMUM_DEADLINE_MS = 1;
const MAXIMUM_DEADLINE_MS = 3_600_000;
const LOWEST_PRIORITY = -10;
const HIGHEST_PRIORITY = 10;

const rejected = (error: ApiError): ContextResult => ({ kind: 'refused', error });

/** Reads and validates the headers of a request. */
export function readContext(agent: AgentNode, request: Hapi.Request): ContextResult {
  if (!agent.isReady) return rejected(notReady());
  const key = BEARER_PATTERN.exec(header(request, 'authorization') ?? '')?.[1];
  const tenant = key === undefined ? undefined : agent.configuration.tenantOfKey(key);
  if (tenant === undefined) return rejected(invalidKey());
  const deadlineMs = numberHeader(request, 'x-deadline-ms', agent.settings.defaultDeadlineMs);
  if (!isWithin(deadlineMs, MINIMUM_DEADLINE_MS, MAXIMUM_DEADLINE_MS)) {
    return rejected(invalidRequest('x-deadline-ms: expected a whole number from 1 to 3600000'));
  }
  const priority = numberHeader(request, 'x-priority', 0);
  if (!isWithin(priority, LOWEST_PRIORITY, HIGHEST_PRIORITY)) {
    return rejected(invalidRequest('x-priority: expected a whole number from -10 to 10'));
  }
  const idempotencyKey = header(request, 'idempotency-key');
  if (idempotencyKey !== undefined && idempotencyKey.length > MAXIMUM_KEY_LENGTH) {
    return rejected(invalidRequest('idempotency-key: expected at most 255 characters'));
  }
  const requestId = agent.createRequestId();
  return { kind: 'ok', context: { tenant, requestId, idempotencyKey, deadlineMs, priority } };
}

function header(request: Hapi.Request, name: string): string | undefined {
  const value = (request.headers as Record<string, string | string[] | undefined>)[name];
  return Array.isArray(value) ? value[0] : value;
}

function numberHeader(request: Hapi.Request, name: string, fallback: number): number {
  const value = header(request, name);
  return value === undefined ? fallback : Number(value);
}

function isWithin(value: number, low: number, high: number): boolean {
  return Number.isInteger(value) && value >= low && value <= high;
}
