/** The request queues of one router, by service, and what they know of the engines' capacity. */
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import { type RandomSource, SeededRandom } from '../../../runtime/random.js';
import { memberKey } from '../../../state/member-key.js';
import {
  hasGenerationCapacity,
  plainRequestLimit,
} from '../../../state/routing/engine-capacity.js';
import type { Service } from '../../../state/routing/configuration.js';
import { brittleEngineView, isBrittle } from '../../../state/routing/engine-eligibility.js';
import type { EngineHealth } from '../../../state/routing/engine-health.js';
import type { EngineRecord } from '../../../state/routing/engine-record.js';
import type { Engine, EngineRegistry } from '../../../state/routing/engine-registry.js';
import type { GenerationShape } from '../../../state/routing/generation.js';
import type { LoadTable } from '../../../state/routing/load-table.js';
import type { Placement } from '../../../state/routing/placement.js';
import type { SlotView } from '../../../state/routing/send-slots.js';
import type { TenantRanking } from '../../../state/routing/tenant-shares.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import type { GatewaySettings } from '../gateway-settings.js';
import { LoadSharingFeature } from '../load-sharing-settings.js';
import {
  type RequestQueueSettings,
  checkQueueSettings,
  queueSettingsFor,
} from './queue-settings.js';
import { ReturningCallers } from './returning-callers.js';
import { ServiceQueue } from './service-queue.js';
import { ServiceTime } from './service-time.js';

/**
 * Smallest part of a service's slots with which a router lets requests wait. With 18 slots, a model
 * measured a median of 52 ms from free room to the send of a waiting request at a third of the
 * traffic, 136 ms at a sixteenth and 745 ms at 1/84; objectives of plain requests are some 200 ms.
 */
const MINIMUM_OWN_SLOTS = 2;

/** What the queues read of the router. */
export interface QueueContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly registry: EngineRegistry;
  readonly loads: LoadTable;
  readonly health: EngineHealth;
  /** Returns the inputs that decide this router's slots at rate-limited engines. */
  slotView(this: void): SlotView;
  /** This router's share of the group's requests, greater than 0 and at most 1. */
  shareOfTraffic(): number;
  readonly tenantRanking: TenantRanking;
  readonly statistics: GatewayStatistics;
}

/** State of one service. */
interface ServiceState {
  readonly queue: ServiceQueue;
  readonly time: ServiceTime;
  /** Configuration of the service at the last request. */
  service: Service;
}

/** Creates the queues of a router; undefined if they are switched off. */
export function createRequestQueues(
  { nodeId, disabledFeatures, requestQueue }: GatewaySettings,
  context: QueueContext,
): RequestQueues | undefined {
  if (disabledFeatures?.has(LoadSharingFeature.RequestQueue)) return undefined;
  // A random source of its own: queues do not change which engines the placement chooses.
  const random = new SeededRandom(memberKey(nodeId));
  return new RequestQueues(requestQueue ?? queueSettingsFor(), { ...context, random });
}

/** All queues of one router. */
export class RequestQueues {
  readonly returning: ReturningCallers;
  private readonly states = new Map<string, ServiceState>();
  private readonly settings: RequestQueueSettings;

  /** Throws a `RangeError` if a setting is not a positive number. */
  constructor(
    settings: RequestQueueSettings,
    private readonly context: QueueContext,
  ) {
    this.settings = checkQueueSettings(settings);
    this.returning = new ReturningCallers(context.clock);
  }

  /**
   * Whether requests of a service may wait. If this router's part of the service's slots is below one
   * send in a load report, a request would wait for several reports although engines have room.
   */
  isEffectiveFor({ name }: Service): boolean {
    const engines = this.context.registry.ofService(name);
    if (isBrittle(engines, this.context.health)) return true;
    const slots = engines.length * (engines[0]?.record.slots ?? 0);
    return slots * this.context.shareOfTraffic() >= MINIMUM_OWN_SLOTS;
  }

  /** Requests that wait now. */
  get size(): number {
    return this.sum(({ queue }) => queue.size);
  }

  of(service: Service): ServiceQueue {
    return this.stateOf(service).queue;
  }

  /** Whether the engine of a placement has capacity for the request. */
  hasCapacity(
    placement: Placement,
    service: Service,
    generation: GenerationShape | undefined,
    objectiveMs: number,
  ): boolean {
    const { record } = placement.engine;
    const load = this.context.loads.at(record.id);
    if (service.engine && generation) {
      return hasGenerationCapacity(load, service.engine, generation);
    }
    return load.requests < this.limitAt(record.slots, service, objectiveMs);
  }

  /** Whether the engine gets no requests for a while after it rejected some or failed. */
  isPausing({ record }: Engine): boolean {
    return this.context.health.isAvoided(record.id, this.context.clock.now());
  }

  /**
   * Expected time of a request at an engine that generates nothing and has just got room for it, in
   * milliseconds: its service, and its wait in the engine's queue.
   */
  plainMs(service: Service, slots: number, objectiveMs: number): number {
    const { ms } = this.stateOf(service).time;
    if (ms === undefined) return 0;
    return (ms * plainRequestLimit(slots, ms, objectiveMs)) / Math.max(1, slots);
  }

  /**
   * Records that a request was served by an engine.
   *
   * @param tookMs from the send to the end, in milliseconds
   * @param requests at the engine when the request was sent, itself included
   */
  noteCompleted(service: Service, tookMs: number, requests: number, slots: number): void {
    const { queue, time } = this.stateOf(service);
    queue.noteCompleted();
    if (!service.engine) time.record(tookMs, requests, slots);
  }

  /** Ends the queues; the router ends the waiting requests. */
  stop(): void {
    for (const { queue } of this.states.values()) queue.stop();
  }

  private limitAt(slots: number, service: Service, objectiveMs: number): number {
    if (service.engine) return service.engine.slots;
    return plainRequestLimit(slots, this.stateOf(service).time.ms, objectiveMs);
  }

  private stateOf(service: Service): ServiceState {
    let state = this.states.get(service.name);
    if (!state) {
      state = { queue: this.createQueue(service.name), time: new ServiceTime(), service };
      this.states.set(service.name, state);
    }
    state.service = service;
    return state;
  }

  private createQueue(name: string): ServiceQueue {
    const { maximumRequests, maximumBytes, maximumWaitMs } = this.settings;
    const others = (amount: (queue: ServiceQueue) => number): number =>
      this.sum((state) => (state.service.name === name ? 0 : amount(state.queue)));
    return new ServiceQueue({
      ...this.context,
      shareOfTraffic: () => this.context.shareOfTraffic(),
      service: name,
      // What the queues of the other services leave of the router's bounds.
      bounds: {
        get maximumRequests() {
          return maximumRequests - others(({ size }) => size);
        },
        get maximumBytes() {
          return maximumBytes - others(({ bytes }) => bytes);
        },
      },
      maximumWaitMs,
      room: (objectiveMs) => this.roomOf(name, objectiveMs),
      dividesSlots: () => this.dividesSlotsOf(name),
    });
  }

  /** Requests that the engines of a service have room for. */
  private roomOf(name: string, objectiveMs: number): number {
    const service = this.states.get(name)?.service;
    if (!service) return 0;
    const { registry, loads, health } = this.context;
    const view = this.context.slotView();
    const engines = registry.readyOf(name).filter((engine) => this.accepts(engine, view));
    const isServiceBrittle = isBrittle(engines, health);
    const rooms = engines.map(({ record }) => {
      if (isServiceBrittle) return this.brittleRoomAt(record, view);
      const limit = this.limitAt(record.slots, service, objectiveMs);
      return Math.max(0, limit - loads.at(record.id).requests);
    });
    return rooms.reduce((total, room) => total + room, 0);
  }

  /** Whether this router owns slots of brittle engines of a service. */
  private dividesSlotsOf(name: string): boolean {
    const { registry, health, loads } = this.context;
    const engines = registry.ofService(name);
    const view = this.context.slotView();
    if (!isBrittle(engines, health)) return false;
    return engines.some(
      ({ record }) => health.brittle.ownSlots(brittleEngineView(record, engines, view, loads)) > 0,
    );
  }

  /** Requests that a brittle engine has room for, of all routers, if each has as much as this one. */
  private brittleRoomAt(record: EngineRecord, view: SlotView): number {
    const { loads, health, clock } = this.context;
    const engines = this.context.registry.ofService(record.service);
    const brittleView = brittleEngineView(record, engines, view, loads);
    const ownRoom = health.brittle.roomAt(brittleView, clock.now());
    return Math.min(record.slots, ownRoom / this.context.shareOfTraffic());
  }

  private accepts({ record }: Engine, view: SlotView): boolean {
    const { health, clock } = this.context;
    const now = clock.now();
    if (health.backoffs.remainingMs(record.name, now) > 0) return false;
    if (health.isLoading(record.id, now) || health.isAvoided(record.id, now)) return false;
    if (health.brittle.pauseMs(record.name, now) > 0) return false;
    return health.limits.maySend(record.name, view);
  }

  private sum(amount: (state: ServiceState) => number): number {
    return [...this.states.values()].reduce((total, state) => total + amount(state), 0);
  }
}
