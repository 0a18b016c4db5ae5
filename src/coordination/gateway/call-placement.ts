/** Chooses the engine for a request of a router, and the options of its send. */
import type { Forwarder, SendOptions } from '../../protocol/inference/port.js';
import type { CacheStore, Service } from '../../state/routing/configuration.js';
import type { Engine } from '../../state/routing/engine-registry.js';
import {
  type Placement,
  type PlacementFailure,
  type PlacementRequest,
  placeRequest,
} from '../../state/routing/placement.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import { StorePressure, storePressure } from '../../state/routing/save-choice.js';
import type { GatewayContext } from './gateway-context.js';
import { LoadSharingFeature } from './load-sharing-settings.js';
import type { Grant } from './request-admission.js';
import type { InboundRequest } from './reply.js';

/** Lowest urgency that engines accept; 0 is the highest. */
const LOWEST_URGENCY = 9;
/** Routers added to the known group size, for those not discovered yet. */
const UNDISCOVERED_ROUTERS = 1;

/** The build at whose engines alone a stream may go on. */
export interface BuildRequirement {
  /** Undefined if the engine that began the stream stated none. */
  readonly build: string | undefined;
}

/** A request to place. */
export interface CallToPlace {
  readonly request: InboundRequest;
  readonly grant: Grant;
  readonly service: Service;
  /** Engines that are not considered, by incarnation. */
  readonly excluded: ReadonlySet<string>;
  /** Undefined if engines of every build may serve. */
  readonly requiredBuild: BuildRequirement | undefined;
}

/** Chooses an engine for a request. */
export function placeCall(
  call: CallToPlace,
  context: GatewayContext,
): ReturnType<typeof placeRequest> {
  const { grant, service, requiredBuild } = call;
  const engines = candidatesOf(service, requiredBuild, context);
  const mayBegin =
    grant.route.isResumable && !requiredBuild
      ? context.streamOrigins.enginesForNewStream(service.name, engines)
      : engines;
  const placed = placeAt(mayBegin, call, context);
  const isUnplaced = typeof placed === 'string' && mayBegin.length < engines.length;
  return isUnplaced ? placeAt(engines, call, context) : placed;
}

/** Chooses one of the given engines. */
function placeAt(
  candidates: readonly Engine[],
  { request, grant, service, excluded }: CallToPlace,
  context: GatewayContext,
): ReturnType<typeof placeRequest> {
  const stores = grant.table.cacheStores.flatMap(({ cacheStore }) => cacheStore ?? []);
  const connectionShare = Math.max(
    1,
    Math.floor(service.maximumConnections / (context.group.size + UNDISCOVERED_ROUTERS)),
  );
  return placeRequest(
    {
      candidates,
      profile: service.engine,
      generation: service.engine ? request.generation : undefined,
      cacheNamespace: grant.table.cacheNamespaces.of(grant.tenant),
      excluded,
      zone: context.zone,
      ...gapPlacementOf(grant, service, context),
      stores,
      storePressure: storePressureOf(request, stores, context),
      connectionShare,
      slotView: context.slotView(),
      hasRoomAt: (id) => context.memory?.hasRoomAt(id, request.body.length) ?? true,
    },
    context,
    context.clock.now(),
  );
}

function candidatesOf(
  { name }: Service,
  requiredBuild: BuildRequirement | undefined,
  { registry }: GatewayContext,
): readonly Engine[] {
  const engines = registry.ofService(name);
  if (!requiredBuild) return engines;
  return engines.filter(({ record }) => record.build === requiredBuild.build);
}

/** Inputs of placement by gaps and capacity; none if no route has a gap objective. */
export function gapPlacementOf(
  { table, route }: Pick<Grant, 'table' | 'route'>,
  service: Service,
  { disabledFeatures }: Pick<GatewayContext, 'disabledFeatures'>,
): Pick<PlacementRequest, 'gapObjectiveMs' | 'objectiveMs' | 'spreadsPlainRequests'> {
  const isDisabled = disabledFeatures.has(LoadSharingFeature.GapPlacement);
  if (isDisabled || !table.hasGapObjectives) return {};
  return {
    gapObjectiveMs: table.gapObjectiveMsOf(service.name),
    objectiveMs: route.objectiveMs,
    spreadsPlainRequests: true,
  };
}

/**
 * Time until an engine of the service accepts requests of this router again, in milliseconds;
 * undefined if the placement failed for a reason other than backoffs and limits.
 */
export function engineWaitMs(
  reason: PlacementFailure,
  service: Service,
  { registry, health, clock, slotView }: GatewayContext,
): number | undefined {
  const isTemporary =
    reason === RejectionReason.EnginesBackingOff || reason === RejectionReason.EnginesLimited;
  if (!isTemporary) return undefined;
  const names = registry.readyOf(service.name).map(({ record }) => record.name);
  return health.shortestWaitMs(names, clock.now(), slotView());
}

/**
 * Estimates the pressure on cache stores from this router's own prompts and its share of the
 * traffic.
 */
function storePressureOf(
  { generation }: InboundRequest,
  stores: readonly CacheStore[],
  context: GatewayContext,
): StorePressure {
  if (!generation) return StorePressure.Low;
  const ownRate = context.ownTokenRate.perSecond(generation.model, context.clock.now());
  return storePressure(ownRate / context.shareOfTraffic(), stores);
}

/** Options with which a placed request is sent. */
export function sendOptionsOf(
  placement: Placement,
  grant: Grant,
  remainingMs: number,
  resumeAfter: string | undefined,
  forwarder: Forwarder | undefined,
): SendOptions {
  return {
    budgetMs: Math.max(1, Math.floor(remainingMs)),
    tenant: grant.tenant?.name,
    expectedInstance: placement.engine.record.name,
    expectedVersion: placement.expectedVersion,
    cacheSalt: placement.cacheSalt,
    urgency:
      placement.cacheSalt === undefined ? undefined : Math.min(LOWEST_URGENCY, grant.priority),
    fetchFrom: placement.fetchFrom,
    saveTo: placement.saveTo,
    resumeAfter,
    forwarder,
  };
}
