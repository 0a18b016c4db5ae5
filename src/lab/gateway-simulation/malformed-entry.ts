/** Entries of engines as another writer may leave them: none names an engine to use. */
import type { StoredEngine } from './stored-engine.js';

/** What is odd about an entry. */
export enum MalformedEntry {
  FieldMissing = 'field-missing',
  OtherType = 'other-type',
  UnknownState = 'unknown-state',
  UnknownService = 'unknown-service',
  Unreadable = 'unreadable',
}

/** A service that no configuration names. */
const UNKNOWN_SERVICE = 'service-of-another-writer';

/** What another writer makes of an engine's entry. */
export function malformedEntryOf(odd: MalformedEntry, entry: StoredEngine): unknown {
  switch (odd) {
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
