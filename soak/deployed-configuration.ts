/** The configuration of a soak's deployment, as the operator writes it. */
import { CALL_PATHS, type CallKind } from './callers.js';
import { HOST, Service } from './wire.js';

export const GENERATION_SLOTS = 32;
/** Enough for all callers of a router that stops. */
export const LONG_STREAM_SLOTS = 256;
const MAXIMUM_IN_FLIGHT = 12;
const CACHE_TOKENS = 100_000;
const LONG_STREAM_CACHE_TOKENS = 1_000_000;
const CONNECTIONS = 200;

/** What configurations of a soak differ in. */
export interface ConfigurationContent {
  readonly version: number;
  /** In the form of the store. */
  readonly tenants: readonly object[];
  /** Time-out of all routes. */
  readonly timeoutMs: number;
  /** After which routers close idle connections. */
  readonly idleTimeoutMs: number;
  /** Whether streams last for seconds. */
  readonly hasLongStreams: boolean;
}

/** Returns the configuration in the form of the store. */
export function deployedConfiguration(content: ConfigurationContent): object {
  const { version, tenants, timeoutMs, idleTimeoutMs, hasLongStreams } = content;
  return {
    version,
    routes: (Object.keys(CALL_PATHS) as CallKind[]).map((kind) => routeOf(kind, timeoutMs)),
    services: [
      { name: Service.plain, max_connections: CONNECTIONS },
      {
        name: Service.generation,
        max_connections: CONNECTIONS,
        engine: {
          slots: hasLongStreams ? LONG_STREAM_SLOTS : GENERATION_SLOTS,
          kv_capacity_tokens: hasLongStreams ? LONG_STREAM_CACHE_TOKENS : CACHE_TOKENS,
          kv_token_bytes: 100,
          link_mbps: 10_000,
          max_in_flight: hasLongStreams ? LONG_STREAM_SLOTS : MAXIMUM_IN_FLIGHT,
        },
      },
    ],
    tenants,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: idleTimeoutMs,
    },
  };
}

function routeOf(kind: CallKind, timeoutMs: number): object {
  const isStream = kind.startsWith('stream');
  return {
    name: kind,
    host: HOST,
    path_prefix: CALL_PATHS[kind],
    service: isStream ? Service.generation : Service.plain,
    kind: isStream ? 'streaming' : kind === 'plain-safe' ? 'safe' : 'unsafe',
    resumable: kind === 'stream-resumable',
    timeout_ms: timeoutMs,
    target_latency_ms: 400,
    priority: isStream ? 1 : 0,
    max_attempts: 3,
  };
}
