/** Malformed engine entries, as another program may write them to the store. */
import type { StoredEngine } from './stored-engine.js';

/** How an entry is malformed. */
export enum MalformedEntry {
  FieldMissing = 'field-missing',
  OtherType = 'other-type',
  UnknownState = 'unknown-state',
  UnknownService = 'unknown-service',
  /** An unknown service, with a later start time than that of the engine. */
  UnknownServiceLaterStart = 'unknown-service-later-start',
  Unreadable = 'unreadable',
}

/** A service that is in no configuration. */
const UNKNOWN_SERVICE = 'service-of-another-writer';
/** Difference between the start time in an overwritten entry and that of the engine. */
const LATER_START_MS = 5_000;

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
    case MalformedEntry.UnknownServiceLaterStart:
      return {
        ...entry,
        service: UNKNOWN_SERVICE,
        startedAtMs: (entry.startedAtMs ?? 0) + LATER_START_MS,
      };
    case MalformedEntry.Unreadable:
      return null;
  }
}
