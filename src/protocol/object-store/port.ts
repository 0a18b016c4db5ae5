/** The port to the platform's store of versioned objects. */
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';

/** One object as the store holds it. */
export interface StoredObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  /** Written by the owner of the object; checked by whoever reads it. */
  readonly spec: unknown;
}

/** What an answer of the store may hold beside its objects. */
export interface UnnamedItems {
  /** Items without a key that can be read; left out where there are none. */
  readonly unnamedItems?: number;
  /** The store's revision that the answer shows. */
  readonly revision: number;
  /** Rises each time that the store is back from an older copy of itself; left out where it says none. */
  readonly era?: number;
}

/** All objects of a kind at one revision of the store. */
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

/** What a watch answers: the changes up to a revision, or that the history is gone. */
export type WatchResult =
  | (UnnamedItems & {
      readonly kind: 'events';
      readonly events: readonly ObjectEvent[];
      /** Moment at which the revision was the newest; left out: when the call began. */
      readonly proven?: ElapsedInstant;
      /** Another router answered in the store's place; left out: the store itself. */
      readonly isRelayed?: boolean;
    })
  | { readonly kind: 'history-gone' };

/** What a conditional write answers. */
export type WriteResult =
  | { readonly kind: 'written'; readonly object: StoredObject }
  /** Another revision was found; the object as it is, where the store tells it. */
  | { readonly kind: 'conflict'; readonly present: StoredObject | undefined }
  | { readonly kind: 'missing' };

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
  /** Waits up to `waitMs` for changes after `revision`. */
  watch(kind: string, revision: number, waitMs: number): Promise<WatchResult>;
  /** Undefined where there is no such object. */
  read(kind: string, name: string): Promise<StoredObject | undefined>;
  create(kind: string, name: string, spec: unknown): Promise<WriteResult>;
  /** Replaces the object if its revision still is `revision`. */
  replace(kind: string, name: string, spec: unknown, revision: number): Promise<WriteResult>;
  /** Removes an object; resolves also where there is none. */
  remove(kind: string, name: string): Promise<void>;
}
