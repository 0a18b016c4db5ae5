/** The routing configuration as an immutable value, independent of its stored form. */
import type { TenantLimit } from './quota/tenant-limit.js';

/** One destination of a route and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Settings for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** Whether a request may run more than once, as safe requests and resumable streams may. */
  readonly isRepeatable: boolean;
  readonly isStreaming: boolean;
  /** Whether a broken stream may continue on another engine. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that counts as in time; undefined if not set. */
  readonly gapObjectiveMs?: number | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  /** Maximum number of engines that one client request is sent to. */
  readonly maximumAttempts: number;
  readonly isPublic: boolean;
}

/** Limits of an engine type. */
export interface EngineProfile {
  readonly slots: number;
  readonly cacheCapacityTokens: number;
  readonly cacheTokenBytes: number;
  readonly linkMbps: number;
  /** Concurrent cache event calls that one engine accepts from all routers together. */
  readonly maximumEventCalls: number;
}

/** A store for KV cache entries. */
export interface CacheStore {
  /** As HOST:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  readonly maximumEventCalls: number;
}

/** A group of engines that serve the same requests, or a cache store. */
export interface Service {
  readonly name: string;
  /** Connections that one engine accepts from all routers together. */
  readonly maximumConnections: number;
  readonly engine: EngineProfile | undefined;
  readonly cacheStore: CacheStore | undefined;
}

/** A customer of the deployment. */
export interface Tenant {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
  /** Whether cached prompts are shared with no other tenant. */
  readonly isIsolated: boolean;
  /** Limit over all routers together; undefined for unlimited use. */
  readonly limit?: TenantLimit | undefined;
}

/** Limits on incoming requests. */
export interface IngressLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface RoutingConfiguration {
  /** Increases with every change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if requests need no key. */
  readonly tenants: readonly Tenant[] | undefined;
  readonly limits: IngressLimits;
}
