/** Requests of a soak that arrived at engines, by router, and the disturbances of the routers. */
import type { CallRecord } from './callers.js';
import type { SoakRecord } from './oracle.js';
import { BOUNDS, DisturbanceKind, type RouterProcess } from './router-process.js';

/** A request that arrived at an engine. */
export interface Arrival {
  readonly call: CallRecord;
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  readonly atMs: number;
}

/** The arrivals of one soak. */
export class CallArrivals {
  readonly all: readonly Arrival[];
  private readonly callsById: Map<string, CallRecord>;
  private readonly routersByAddress: Map<string, RouterProcess>;

  constructor(record: SoakRecord) {
    this.callsById = new Map(record.calls.map((call) => [call.id, call]));
    this.routersByAddress = new Map(
      record.routers.map((router) => [router.frontendAddress, router]),
    );
    this.all = record.observations.arrivals.flatMap(({ requestId, engineId, atMs }) => {
      const call = this.callsById.get(requestId);
      return call ? [{ call, engineId, atMs }] : [];
    });
  }

  callOf(requestId: string): CallRecord | undefined {
    return this.callsById.get(requestId);
  }

  /** Arrivals at one engine from the router at an address. */
  fromRouter(engineId: string, router: string): Arrival[] {
    return this.all.filter(
      (arrival) => arrival.engineId === engineId && arrival.call.router === router,
    );
  }

  /** Whether the router's process was down, frozen, or restarting at any time in a span. */
  wasInterrupted(address: string, fromMs: number, toMs: number): boolean {
    const router = this.routersByAddress.get(address);
    if (!router) return true;
    const wasDisturbed = router.disturbances.some(
      ({ kind, fromMs: startedMs, untilMs }) =>
        kind !== DisturbanceKind.StoreLink && startedMs <= toMs && fromMs <= (untilMs ?? Infinity),
    );
    const graceMs = BOUNDS.grace_s * 1_000;
    return wasDisturbed || router.stops.some((atMs) => atMs <= toMs && fromMs <= atMs + graceMs);
  }
}
