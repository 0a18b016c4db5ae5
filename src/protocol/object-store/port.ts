/** Interface to the platform's store of versioned objects. */
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { StorePosition } from '../../runtime/store-position.js';

/** An object in the store. */
export interface StoredObject {
  readonly name: string;
  /** Position of the object's last change, in the store era of the response. */
  readonly position: StorePosition;
  /** Contents as written by the object's owner; not validated. */
  readonly spec: unknown;
}

/** Fields that a response of the store has beside its objects. */
export interface StoreResponse {
  /** Number of items without a valid key; omitted if there are none. */
  readonly unnamedItems?: number;
  /** Position of the store when it made the response. */
  readonly position: StorePosition;
}

/** All objects of a kind at one position of the store. */
export interface ObjectList extends StoreResponse {
  readonly objects: readonly StoredObject[];
  /**
   * Instant at which the list was known to be current, `never` if unknown. Omitted: the start of
   * the call.
   */
  readonly proven?: ElapsedInstant;
  /** Whether another router relayed the list; omitted if it comes from the store itself. */
  readonly isRelayed?: boolean;
}

/** A change of one object. */
export interface ObjectEvent {
  readonly object: StoredObject;
  readonly isGone: boolean;
}

/**
 * Result of a watch: the changes up to a position; `history-gone` if some may be missing, or
 * `too-large` if they are more than one response may hold.
 */
export type WatchResult =
  | (StoreResponse & {
      readonly kind: 'events';
      readonly events: readonly ObjectEvent[];
      /** Instant at which the position was the latest. Omitted: the start of the call. */
      readonly proven?: ElapsedInstant;
      /** Whether another router relayed the changes; omitted if they come from the store itself. */
      readonly isRelayed?: boolean;
    })
  | { readonly kind: 'history-gone' }
  | { readonly kind: 'too-large' };

/** Result of a conditional write. */
export type WriteResult =
  /** The revision matched. In a later era, it may belong to another state of the object. */
  | { readonly kind: 'written'; readonly era: number; readonly object: StoredObject }
  /** The revision did not match. `present` is the current object, if the store returns it. */
  | { readonly kind: 'conflict'; readonly era: number; readonly present: StoredObject | undefined }
  | { readonly kind: 'missing'; readonly era: number };

/** Result of a read of one object. */
export interface ReadResult {
  /** Era of the store when it made the response. */
  readonly era: number;
  /** Undefined if there is no such object. */
  readonly object: StoredObject | undefined;
}

/** Required freshness of a list. */
export enum ListFreshness {
  /** Includes every change acknowledged before the call. */
  Current = 'current',
  /** May lack the changes of the last seconds; cheaper for the store. */
  MayBeStale = 'may-be-old',
}

/** Calls reject with a `ProtocolFailure`. A write without a response may still take effect. */
export interface ObjectStorePort {
  list(kind: string, freshness: ListFreshness): Promise<ObjectList>;
  /** Returns the changes after a position; waits up to `waitMs` if there are none. */
  watch(kind: string, position: StorePosition, waitMs: number): Promise<WatchResult>;
  read(kind: string, name: string): Promise<ReadResult>;
  create(kind: string, name: string, spec: unknown): Promise<WriteResult>;
  /** Replaces the object if its revision is still that of `position`. */
  replace(kind: string, name: string, spec: unknown, position: StorePosition): Promise<WriteResult>;
  /** Removes an object; also resolves if there is none. */
  remove(kind: string, name: string): Promise<void>;
}
