/** Malformed engine entries, as another writer may leave them in the store. */
import type { StoredEngine } from './stored-engine.js';

/** How an entry is malformed. */
export enum MalformedEntry {
  FieldMissing = 'field-missing',
  OtherType = 'other-type',
  UnknownState = 'unknown-state',
  UnknownService = 'unknown-service',
  Unreadable = 'unreadable',
}

/** A service that is in no configuration. */
const UNKNOWN_SERVICE = 'service-of-another-writer';

/** Returns the entry with the given fault. */
export function malformedEntryOf(fault: MalformedEntry, entry: StoredEngine): unknown {
  switch (fault) {
    case MalformedEntry.FieldMissing:
      return { ...entry, address: undefined };
    case MalformedEntry.OtherType:
      return { ...entry, slots: 'many', modelVersions: 7 };
    case MalformedEntry.UnknownState:
      return { ...entry, isDraining: 'resting' };
    case MalformedEntry.UnknownService:
      return { ...entry, service: UNKNOWN_SERVICE };
    case MalformedEntry.Unreadable:
      return null;
  }
}
