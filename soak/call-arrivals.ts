/** Requests of a soak as they reached engines, with the routers that sent them and what disturbed these. */
import type { CallRecord } from './callers.js';
import type { SoakRecord } from './oracle.js';
import { BOUNDS, DisturbanceKind, type RouterProcess } from './router-process.js';

/** A request as it reached an engine. */
export interface Arrival {
  readonly call: CallRecord;
  /** One life of the engine. */
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

  /** What reached one engine from the router at an address. */
  ofRouter(engineId: string, router: string): Arrival[] {
    return this.all.filter(
      (arrival) => arrival.engineId === engineId && arrival.call.router === router,
    );
  }

  /** Whether the router's process did not run, or started again, between two moments. */
  wasInterrupted(address: string, fromMs: number, toMs: number): boolean {
    const router = this.routersByAddress.get(address);
    if (!router) return true;
    const isUnplanned = router.disturbances.some(
      ({ kind, fromMs: beganMs, untilMs }) =>
        kind !== DisturbanceKind.StoreWay && beganMs <= toMs && fromMs <= (untilMs ?? Infinity),
    );
    const graceMs = BOUNDS.grace_s * 1_000;
    return isUnplanned || router.stops.some((atMs) => atMs <= toMs && fromMs <= atMs + graceMs);
  }
}
