/** The port to the platform's store of versioned objects. */
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { StorePosition } from '../../runtime/store-position.js';

/** One object as the store holds it. */
export interface StoredObject {
  readonly name: string;
  /** Of its last change, in the era of the answer that shows it. */
  readonly position: StorePosition;
  /** Written by the owner of the object; checked by whoever reads it. */
  readonly spec: unknown;
}

/** What an answer of the store may hold beside its objects. */
export interface UnnamedItems {
  /** Items without a key that can be read; left out where there are none. */
  readonly unnamedItems?: number;
  /** Where the store stood when it made the answer. */
  readonly position: StorePosition;
}

/** All objects of a kind at one position of the store. */
export interface ObjectList extends UnnamedItems {
  readonly objects: readonly StoredObject[];
  /**
   * Moment at which the list was current, `never` where that is not known; left out: when the call began.
   */
  readonly proven?: ElapsedInstant;
  /** Another router answered in the store's place; left out: the store itself. */
  readonly isRelayed?: boolean;
}

/** A change of one object. */
export interface ObjectEvent {
  readonly object: StoredObject;
  readonly isGone: boolean;
}

/** What a watch answers: the changes up to a position, or that they are not known to follow on the one asked from. */
export type WatchResult =
  | (UnnamedItems & {
      readonly kind: 'events';
      readonly events: readonly ObjectEvent[];
      /** Moment at which the position was the newest; left out: when the call began. */
      readonly proven?: ElapsedInstant;
      /** Another router answered in the store's place; left out: the store itself. */
      readonly isRelayed?: boolean;
    })
  | { readonly kind: 'history-gone' };

/** What a conditional write answers. */
export type WriteResult =
  /** The revision was as expected: in a later era than expected it may have been another object's state. */
  | { readonly kind: 'written'; readonly era: number; readonly object: StoredObject }
  /** Another revision was found; the object as it is, where the store tells it. */
  | { readonly kind: 'conflict'; readonly era: number; readonly present: StoredObject | undefined }
  | { readonly kind: 'missing'; readonly era: number };

/** What a read of one object answers. */
export interface ReadResult {
  /** The store's era when it made the answer. */
  readonly era: number;
  /** Undefined where there is no such object. */
  readonly object: StoredObject | undefined;
}

/** How current a list must be. */
export enum ListFreshness {
  /** No change acknowledged before the call is missing. */
  Current = 'current',
  /** It may lack the changes of the last seconds, and costs the store less. */
  MayBeOld = 'may-be-old',
}

/** Calls reject with a `ProtocolFailure`; a write without an answer may still be done later. */
export interface ObjectStorePort {
  list(kind: string, freshness: ListFreshness): Promise<ObjectList>;
  /** Waits up to `waitMs` for changes after a position. */
  watch(kind: string, position: StorePosition, waitMs: number): Promise<WatchResult>;
  read(kind: string, name: string): Promise<ReadResult>;
  create(kind: string, name: string, spec: unknown): Promise<WriteResult>;
  /** Replaces the object if its revision is still the one of `position`. */
  replace(kind: string, name: string, spec: unknown, position: StorePosition): Promise<WriteResult>;
  /** Removes an object; resolves also where there is none. */
  remove(kind: string, name: string): Promise<void>;
}
