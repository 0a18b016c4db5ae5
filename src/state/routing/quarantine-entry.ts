/** What one router knows of a subject that was running as engines crashed. */
import type { CrashedRun } from './crash-evidence.js';

/** A suspected, quarantined or recently cleared subject; times are monotonic, in milliseconds. */
export interface QuarantineEntry {
  /** The run at each crash, by incarnation of the engine. */
  readonly crashes: Map<string, CrashedRun>;
  /** Undefined while the subject is not quarantined. */
  quarantinedMs: number | undefined;
  /** Whether the quarantine is final: no trial is made. */
  isConfirmed: boolean;
  /** Events up to this time are ignored. */
  clearedMs: number;
  updatedMs: number;
}

/**
 * How long clearances are retained: longer than routers repeat their announcements, and longer than
 * a router that received none takes to read the store again.
 */
const CLEARANCE_LIFETIME_MS = 120_000;
/** A suspected subject without another crash within this time is dropped. */
const SUSPICION_LIFETIME_MS = 600_000;
/** Longer than callers retry; the engines may have been repaired by then. */
export const QUARANTINE_LIFETIME_MS = 1_800_000;

export function createEntry(nowMs: number): QuarantineEntry {
  return {
    crashes: new Map(),
    quarantinedMs: undefined,
    isConfirmed: false,
    clearedMs: -Infinity,
    updatedMs: nowMs,
  };
}

/** Time without an event after which the entry is dropped. */
export function lifetimeOf({ quarantinedMs, crashes }: QuarantineEntry): number {
  if (quarantinedMs !== undefined) return QUARANTINE_LIFETIME_MS;
  return crashes.size > 0 ? SUSPICION_LIFETIME_MS : CLEARANCE_LIFETIME_MS;
}

/** Whether the subject completed successfully since it was first suspected. */
export function hasCompleted({ clearedMs }: QuarantineEntry): boolean {
  return clearedMs !== -Infinity;
}

/**
 * Number of crashed engines at which both subjects were running; undefined if the rival was running at
 * a crash without the other one. Crashes that the other one's completion has cleared don't count.
 */
export function sharedEnginesOf(
  rival: QuarantineEntry,
  other: QuarantineEntry,
): number | undefined {
  let shared = 0;
  for (const [engineId, { crashedMs }] of rival.crashes) {
    if (other.crashes.has(engineId)) shared += 1;
    else if (crashedMs > other.clearedMs) return undefined;
  }
  return shared;
}
