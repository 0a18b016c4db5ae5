/** Settings, configuration and requests of the simulated deployment. */
import type { GatewaySettings } from '../../coordination/gateway/gateway-settings.js';
import type { ObjectDecoder, ObjectKinds } from '../../coordination/gateway/object-decoder.js';
import type { InboundRequest } from '../../coordination/gateway/reply.js';
import type { HeaderLine } from '../../protocol/inference/port.js';
import type { RoutingConfiguration } from '../../state/routing/configuration.js';
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';
import { decodeStoredEngine } from './stored-engine.js';
import { RequestBody } from '../../runtime/request-body.js';

/** Kinds of request that simulated callers send; each has a route. */
export const REQUEST_KINDS = [
  'plain-unsafe',
  'plain-safe',
  'stream-resumable',
  'stream-once',
] as const;
export type RequestKind = (typeof REQUEST_KINDS)[number];

/** Bounds of the simulated deployment, in milliseconds. */
export const SIMULATION_BOUNDS = {
  revokeMs: 5_000,
  drainMs: 2_000,
  leaseMs: 3_000,
  /** From the publication of weights until no request may start on older ones. */
  versionMs: 7_700,
  /** From the acknowledgement of a configuration until it is effective on all routers. */
  applyMs: 3_000,
} as const;

export const SIMULATION_MODEL = 'model-a';
export const ISOLATED_TENANT = 'tenant-1';
export const GENERATION_SERVICE = 'generation';
export const PLAIN_SERVICE = 'plain';
/** Build of the engines at the start; their events don't state it. */
export const FIRST_BUILD = 'build-1';
/** Time that callers give a request. */
export const REQUEST_BUDGET_MS = 3_000;
/** Time-out of each route at the start. */
export const ROUTE_TIMEOUT_MS = 4_000;
const DEFAULT_TIMEOUTS_MS: ReadonlyMap<RequestKind, number> = new Map(
  REQUEST_KINDS.map((kind) => [kind, ROUTE_TIMEOUT_MS]),
);
/** Number of routers. */
export const ROUTERS = 3;

/** Kinds of objects in the store. */
export const KINDS: ObjectKinds = {
  configuration: 'configuration',
  engines: 'engines',
  weightVersions: 'weights',
  leases: 'leases',
  quarantine: 'quarantine',
  builds: 'builds',
};
/** All API keys that tenants may have. */
export const KEYS = new Map([
  ['tenant-1', ['key-1a', 'key-1b']],
  ['tenant-2', ['key-2a', 'key-2b']],
]);
/** Decodes stored objects, which hold the decoded values except for those JSON can't represent. */
export const DECODER: ObjectDecoder = {
  configuration: (object) => ({ kind: 'value', value: object.spec as RoutingConfiguration }),
  engine: decodeStoredEngine,
  weights: (object) => ({
    kind: 'value',
    value: object.spec as { model: string; version: number },
  }),
};

/** Node identifier of a router. */
export function routerName(index: number): string {
  return `router-${index % ROUTERS}`;
}
/** Settings of one router. */
export function simulationSettings(name: string): GatewaySettings {
  return {
    nodeId: name,
    zone: 'zone-a',
    region: 'region-a',
    capacity: 1_000,
    frontendAddress: `${name}:80`,
    gossipAddress: `${name}:7000`,
    forwardingAddress: `${name}:7001`,
    seeds: [0, 1, 2].map((index) => `${routerName(index)}:7000`),
    isFirstStart: false,
    kinds: KINDS,
    proofLifetimeMs: SIMULATION_BOUNDS.revokeMs * 0.92,
    configurationWatchMs: 1_500,
    engineWatchMs: 3_000,
    versionWatchMs: 10_000,
    relay: {
      directGroupSize: 1,
      routersPerReader: 2,
      minimumReaders: 1,
      watchMs: 600,
      maximumProofAgeMs: 1_400,
    },
    drainMs: SIMULATION_BOUNDS.drainMs,
    entryLifetimeMs: 3_600,
    retryBudget: { ratio: 0.2, windowMs: 10_000, allowance: 54 },
    rollout: {
      graceMs: 7_000,
      batchMs: 1_000,
      batches: 2,
      marginMs: 500,
      handoverMs: 2_000,
      replacedWeightsLoss: 0.2,
      loadCostRequests: 2,
    },
    beginSlackMs: 450,
    unseenVersionAgeMs: 5_000,
    leaseMs: SIMULATION_BOUNDS.leaseMs,
    leaseActMs: 500,
    quotaTolerance: SIMULATION_QUOTA_TOLERANCE,
  };
}

/** A tenant of a configuration; the one that is isolated at the start stays so unless stated. */
export interface SimulatedTenant {
  readonly name: string;
  readonly keys: string[];
  readonly limit?: TenantLimit | undefined;
  readonly isIsolated?: boolean;
}

/**
 * A configuration with a route for each kind of request that has a time-out; the others have no
 * route.
 */
export function simulationConfiguration(
  version: number,
  tenants: readonly SimulatedTenant[],
  timeoutsMs: ReadonlyMap<RequestKind, number | undefined> = DEFAULT_TIMEOUTS_MS,
): RoutingConfiguration {
  const route = (kind: RequestKind, timeoutMs: number) => ({
    name: kind,
    host: 'host.example',
    pathPrefix: `/${pathOf(kind)}/`,
    targets: [
      { service: kind.startsWith('stream') ? GENERATION_SERVICE : PLAIN_SERVICE, weight: 1 },
    ],
    isRepeatable: kind === 'plain-safe' || kind === 'stream-resumable',
    isStreaming: kind.startsWith('stream'),
    isResumable: kind === 'stream-resumable',
    timeoutMs,
    objectiveMs: 400,
    priority: 1,
    maximumAttempts: 3,
    isPublic: false,
  });
  const plain = { maximumConnections: 100, cacheStore: undefined };
  return {
    version,
    routes: REQUEST_KINDS.flatMap((kind) => {
      const timeoutMs = timeoutsMs.get(kind);
      return timeoutMs === undefined ? [] : [route(kind, timeoutMs)];
    }),
    services: [
      { ...plain, name: PLAIN_SERVICE, engine: undefined },
      {
        ...plain,
        name: GENERATION_SERVICE,
        engine: {
          slots: 8,
          cacheCapacityTokens: 100_000,
          cacheTokenBytes: 100,
          linkMbps: 10_000,
          maximumEventCalls: 8,
        },
      },
    ],
    tenants: tenants.map(({ name, keys, limit, isIsolated = name === ISOLATED_TENANT }) => ({
      name,
      keys,
      limit,
      priority: undefined,
      isIsolated,
    })),
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

function pathOf(kind: RequestKind): string {
  return kind.startsWith('stream') ? `stream/${kind}` : `plain/${kind}`;
}

/** Tokens that a stream declares: 900 of the prompt and at most 10 of output. */
export const STREAM_TOKENS = 910;
/** How far routers may exceed tenant limits: by two streams each, plus a share of the limit. */
export const SIMULATION_QUOTA_TOLERANCE = {
  windowMs: 8_000,
  overageShare: 0.1,
  slack: 6 * STREAM_TOKENS,
} as const;
/** Prefix of bodies that crash every engine running them. */
export const CRASHING_BODY = 'crashes-engines';

/** Prefix of prompt parts that crash every engine beginning to respond to a prompt with one. */
export const CRASHING_PART = 'crashing-part';
/** In the text of a prompt, keeps a crashing part from crashing the engine. */
export const HARMLESS_TEXT = 'harmless';
/** The part that prompts share unless their bodies list others. */
const DEFAULT_SHARED_PART = 'shared';
/** A body that lists the shared parts of its prompt. */
const BODY_WITH_PARTS = /^\[(.*?)\] /;

/** A request body whose prompt shares the given parts, in this order. */
export function bodyWithParts(sharedParts: readonly string[], text: string): string {
  return `[${sharedParts.join(' ')}] ${text}`;
}

/** Identifiers of the parts that the prompt of a body shares. */
export function sharedPartIdsOf(body: string): readonly string[] {
  return BODY_WITH_PARTS.exec(body)?.[1]?.split(' ') ?? [DEFAULT_SHARED_PART];
}

/** A stream that a caller takes up again. */
export interface ContinuedStream {
  /** Attempt that brought its first event. */
  readonly firstAttempt: string;
  /** Number of the last event received. */
  readonly lastEvent: number;
}

/** A stream that lasts for seconds. */
export interface SlowStream {
  /** Time from each event to the next, in milliseconds. */
  readonly eventIntervalMs: number;
  /** Time that the caller gives the request. */
  readonly budgetMs: number;
}

/** Header with the time between two events of a slow stream. */
const EVENT_INTERVAL_HEADER = 'Event-Interval-Ms';

/** The time between two events that a request asks for; undefined for that of most streams. */
export function eventIntervalOf(headers: readonly HeaderLine[]): number | undefined {
  const value = headers.find(([name]) => name === EVENT_INTERVAL_HEADER)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** A caller's request. Requests with the same body count as the same request. */
export function inboundRequest(
  id: string,
  kind: RequestKind,
  key: string,
  arrivedMs: number,
  body = id,
  continued?: ContinuedStream,
  slowStream?: SlowStream,
): InboundRequest {
  const path = `/${pathOf(kind)}/x`;
  const sharedIds = sharedPartIdsOf(body);
  const sharedParts = sharedIds.map((part) => ({ id: part, tokens: 800 / sharedIds.length }));
  const parts = [...sharedParts, { id: body, tokens: 100 }];
  return {
    id,
    method: 'POST',
    target: path,
    path,
    host: 'host.example',
    hostHeader: 'host.example',
    headers: slowStream ? [[EVENT_INTERVAL_HEADER, `${slowStream.eventIntervalMs}`]] : [],
    body: RequestBody.of(Buffer.from(body)),
    apiKey: key,
    budgetMs: slowStream?.budgetMs ?? REQUEST_BUDGET_MS,
    generation: kind.startsWith('stream')
      ? { model: SIMULATION_MODEL, parts, promptTokens: 900, maximumOutputTokens: 10 }
      : undefined,
    declaredTokens: kind.startsWith('stream') ? STREAM_TOKENS : undefined,
    resumeAfter: continued && String(continued.lastEvent),
    resumes: continued?.firstAttempt,
    arrivedMs,
  };
}
