/** The routing configuration in the product's own words, as one immutable value. */
import type { TenantLimit } from './quota/tenant-limit.js';

/** One destination of a route and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** What an operator has set for requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** Whether a request may run more than once: safe ones and resumable streams. */
  readonly isRepeatable: boolean;
  readonly isStreaming: boolean;
  /** Whether a broken stream may continue on another engine. */
  readonly isResumable: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Engines to which one client attempt may be sent. */
  readonly maximumAttempts: number;
  readonly isPublic: boolean;
}

/** Limits of one kind of model engine. */
export interface EngineProfile {
  readonly slots: number;
  readonly cacheCapacityTokens: number;
  readonly cacheTokenBytes: number;
  readonly linkMbps: number;
  /** Calls for cache events that one engine holds at once, from all routers. */
  readonly maximumEventCalls: number;
}

/** A store of kept KV cache. */
export interface CacheStore {
  /** HOST:PORT. */
  readonly address: string;
  readonly zone: string;
  readonly capacityTokens: number;
  readonly linkMbps: number;
  readonly maximumEventCalls: number;
}

/** A group of engines that serve the same requests, or a cache store. */
export interface Service {
  readonly name: string;
  /** Connections an engine accepts from all routers together. */
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
  /** What the tenant may use over all routers; undefined where that is not limited. */
  readonly limit?: TenantLimit | undefined;
}

/** Bounds on what a caller may send. */
export interface IngressLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface RoutingConfiguration {
  /** Rises with every change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined where requests need no key. */
  readonly tenants: readonly Tenant[] | undefined;
  readonly limits: IngressLimits;
}
