/** What a simulated deployment records and the parameters of its faults. */
import type { RecordedReply } from './recorded-reply.js';
import type { ContinuedStream, RequestKind } from './simulation-fixtures.js';

/** A request and its recorded response. */
export interface ObservedRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly tenant: string;
  readonly key: string;
  readonly router: string;
  readonly sentMs: number;
  /** When the router read it; undefined if its process ended before. */
  readMs: number | undefined;
  /** Undefined if it is its own. */
  readonly body: string | undefined;
  /** Time that its caller gives it, in milliseconds. */
  readonly budgetMs: number;
  readonly reply: RecordedReply;
  /** The stream that it continues; undefined for a new request. */
  readonly continued?: ContinuedStream | undefined;
}

/** Restoration of the store from an older copy. Times in milliseconds. */
export interface StoreRestoration {
  /** Writes of this long before the outage are lost. */
  readonly lostMs: number;
  /** Duration of the outage before the restored store is available. */
  readonly awayMs: number;
  /** Delay after the outage until the operator rewrites lost objects. */
  readonly writtenAgainMs: number;
}

/** A change that the store acknowledged, for rules with a time bound. */
export interface Acknowledgement {
  readonly kind: 'key-removed' | 'key-added' | 'engine-draining' | 'weights-published';
  /** Key, engine or version. */
  readonly subject: string;
  readonly atMs: number;
}

/** A change of a tenant's isolation that the store acknowledged. */
export interface IsolationChange {
  readonly tenant: string;
  readonly isIsolated: boolean;
  readonly atMs: number;
}

/** A change of a kind's route that the store acknowledged. */
export interface RouteChange {
  readonly kind: RequestKind;
  /** Undefined removes the route. */
  readonly timeoutMs: number | undefined;
  readonly atMs: number;
}
