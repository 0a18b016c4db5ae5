/**
 * Remembers, for a bounded time, which build of which service brought the first event of a stream.
 * What two builds write does not fit together, so a stream may go on only at its own build. Pure.
 */
import { type Retention, createBoundedCache } from '../bounded-cache.js';

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: string;
  /** Build of the engine's software; undefined if its entry stated none. */
  readonly build: string | undefined;
}

/** Time after which no caller takes a stream up any more. */
export const ORIGIN_RETENTION_MS = 60_000;
/** About three times the streams that a router keeps or begins within the retention. */
const MAXIMUM_ORIGINS = 16_384;

/** The origins known to one router, by the attempt that brought the first event. */
export class StreamOrigins {
  private readonly origins;
  /** Attempts whose streams began here, so that other routers can be notified later. */
  private readonly own;

  /** @param now returns the monotonic time in milliseconds */
  constructor(now: () => number) {
    const retention: Retention = { retentionMs: ORIGIN_RETENTION_MS, now };
    this.origins = createBoundedCache<string, StreamOrigin>(MAXIMUM_ORIGINS, retention);
    this.own = createBoundedCache<string, StreamOrigin>(MAXIMUM_ORIGINS, retention);
  }

  /** Records a stream that began at this router. */
  noteOwn(attemptId: string, origin: StreamOrigin): void {
    this.own.set(attemptId, origin);
  }

  /** Records a stream that began at another router. */
  noteReported(attemptId: string, origin: StreamOrigin): void {
    this.origins.set(attemptId, origin);
  }

  find(attemptId: string): StreamOrigin | undefined {
    return this.own.get(attemptId) ?? this.origins.get(attemptId);
  }

  /** Streams of a service that began here. */
  ownOf(service: string): [attemptId: string, origin: StreamOrigin][] {
    return [...this.own.entries()].filter(([, origin]) => origin.service === service);
  }
}
