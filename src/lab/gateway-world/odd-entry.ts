/** Entries of engines as another writer may leave them: none names an engine to use. */
import type { StoredEngine } from './stored-engine.js';

/** What is odd about an entry. */
export enum OddEntry {
  FieldMissing = 'field-missing',
  OtherType = 'other-type',
  UnknownState = 'unknown-state',
  UnknownService = 'unknown-service',
  Unreadable = 'unreadable',
}

/** A service that no configuration names. */
const UNKNOWN_SERVICE = 'service-of-another-writer';

/** What another writer makes of an engine's entry. */
export function oddEntryOf(odd: OddEntry, entry: StoredEngine): unknown {
  switch (odd) {
    case OddEntry.FieldMissing:
      return { ...entry, address: undefined };
    case OddEntry.OtherType:
      return { ...entry, slots: 'many', modelVersions: 7 };
    case OddEntry.UnknownState:
      return { ...entry, isDraining: 'resting' };
    case OddEntry.UnknownService:
      return { ...entry, service: UNKNOWN_SERVICE };
    case OddEntry.Unreadable:
      return null;
  }
}
