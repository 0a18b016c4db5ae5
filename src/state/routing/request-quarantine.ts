/**
 * Requests under which engines crashed, by fingerprint. A request that was running at three engines when
 * each of them crashed, and that never came to a good end, is quarantined: it is the cause, and no engine
 * may be sent it again. Pure; bounded in entries and time.
 *
 * A crash breaks every request that the engine was running, and all but one are innocent. Two things keep
 * them from being blamed: an innocent request would have to be hit at three engines one after the other,
 * and one good end anywhere clears it, since a request that crashes engines never has one.
 */

/** How sure must be that a request is the cause. */
export interface QuarantinePolicy {
  /** Crashes, each of another engine, after which a request is quarantined. */
  readonly crashes: number;
}

/**
 * Of 3,787 requests of a day on which 11 engines crashed by themselves, one was at two of them in the moment
 * of their crash and none at three.
 */
export const DEFAULT_QUARANTINE_POLICY: QuarantinePolicy = { crashes: 3 };

/** What a note has changed. */
export enum QuarantineChange {
  None = 'none',
  /** One more crash is known of a request that may be innocent. */
  Suspected = 'suspected',
  Quarantined = 'quarantined',
  /** The request was suspected, but not quarantined, and is not any more. */
  Cleared = 'cleared',
  /** The request was quarantined and is not any more. */
  Lifted = 'lifted',
}

interface Entry {
  /** When each engine crashed, by incarnation. */
  readonly crashedMs: Map<string, number>;
  quarantinedMs: number | undefined;
  /** What happened until then counts no more. */
  clearedMs: number;
  touchedMs: number;
}

/** Entries kept; of those that are not quarantined the least recently touched go first. */
const MAXIMUM_ENTRIES = 4_096;
const MAXIMUM_QUARANTINED = 512;
/**
 * What cleared a request is remembered this long: longer than routers repeat their notices, and than one
 * that heard nothing takes to read the store again.
 */
const CLEARANCE_LIFETIME_MS = 120_000;
/** A request that comes again later than this must crash engines anew to be blamed. */
const SUSPICION_LIFETIME_MS = 600_000;
/** Callers give up long before; weights or engines may have been mended by then. */
export const QUARANTINE_LIFETIME_MS = 1_800_000;

/** What one router knows. */
export class RequestQuarantine {
  /** By fingerprint, the least recently touched first. */
  private readonly entries = new Map<string, Entry>();
  private readonly quarantined = new Set<string>();

  constructor(private readonly policy: QuarantinePolicy = DEFAULT_QUARANTINE_POLICY) {}

  /** Whether nothing is known of any request: then no fingerprint needs to be taken. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** All fingerprints in quarantine and since when. */
  get quarantinedSince(): ReadonlyMap<string, number> {
    const since = new Map<string, number>();
    for (const fingerprint of this.quarantined) {
      since.set(fingerprint, this.entries.get(fingerprint)?.quarantinedMs ?? -Infinity);
    }
    return since;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Whether the request was known as cleared at `atMs`, so that what was seen until then counts no more. */
  isClearedSince(fingerprint: string, atMs: number): boolean {
    return atMs <= (this.entries.get(fingerprint)?.clearedMs ?? -Infinity);
  }

  /** Engines that crashed while they ran the request. */
  crashedEngines(fingerprint: string): string[] {
    return [...(this.entries.get(fingerprint)?.crashedMs.keys() ?? [])];
  }

  /** An engine crashed at `atMs` while it ran the request. */
  noteCrash(fingerprint: string, engineId: string, atMs: number): QuarantineChange {
    const entry = this.touch(fingerprint, atMs);
    if (atMs <= entry.clearedMs || entry.crashedMs.has(engineId)) return QuarantineChange.None;
    entry.crashedMs.set(engineId, atMs);
    const isProven = entry.crashedMs.size >= this.policy.crashes;
    if (!isProven || this.quarantined.has(fingerprint)) return QuarantineChange.Suspected;
    this.enter(fingerprint, entry, atMs);
    return QuarantineChange.Quarantined;
  }

  /** Another router, or the store, has it in quarantine since `sinceMs`. */
  noteQuarantined(fingerprint: string, sinceMs: number): QuarantineChange {
    if (this.quarantined.has(fingerprint)) return QuarantineChange.None;
    const entry = this.touch(fingerprint, sinceMs);
    if (sinceMs <= entry.clearedMs) return QuarantineChange.None;
    this.enter(fingerprint, entry, sinceMs);
    return QuarantineChange.Quarantined;
  }

  /** The request came to a good end at `atMs`, or an operator has lifted its quarantine. */
  noteCleared(fingerprint: string, atMs: number): QuarantineChange {
    const entry = this.entries.get(fingerprint);
    if (!entry || atMs <= entry.clearedMs) return QuarantineChange.None;
    const isSuspected = entry.crashedMs.size > 0;
    const isLifted = (entry.quarantinedMs ?? Infinity) <= atMs;
    entry.clearedMs = atMs;
    entry.touchedMs = Math.max(entry.touchedMs, atMs);
    for (const [engineId, crashedMs] of entry.crashedMs) {
      if (crashedMs <= atMs) entry.crashedMs.delete(engineId);
    }
    if (isLifted) {
      this.leave(fingerprint, entry);
      return QuarantineChange.Lifted;
    }
    return isSuspected ? QuarantineChange.Cleared : QuarantineChange.None;
  }

  /** Forgets what is too old; answers the fingerprints whose quarantine has run out. */
  expire(nowMs: number): string[] {
    const expired: string[] = [];
    for (const [fingerprint, entry] of this.entries) {
      const isQuarantined = this.quarantined.has(fingerprint);
      if (nowMs - entry.touchedMs <= lifetimeOf(entry)) continue;
      if (isQuarantined) expired.push(fingerprint);
      this.drop(fingerprint);
    }
    return expired;
  }

  private touch(fingerprint: string, atMs: number): Entry {
    const present = this.entries.get(fingerprint);
    const entry = present ?? {
      crashedMs: new Map<string, number>(),
      quarantinedMs: undefined,
      clearedMs: -Infinity,
      touchedMs: atMs,
    };
    entry.touchedMs = Math.max(entry.touchedMs, atMs);
    this.entries.delete(fingerprint);
    if (this.entries.size >= MAXIMUM_ENTRIES) this.dropOldestSuspect();
    this.entries.set(fingerprint, entry);
    return entry;
  }

  private enter(fingerprint: string, entry: Entry, sinceMs: number): void {
    entry.quarantinedMs = sinceMs;
    if (this.quarantined.size >= MAXIMUM_QUARANTINED) {
      const [oldest] = this.quarantined;
      if (oldest !== undefined) this.drop(oldest);
    }
    this.quarantined.add(fingerprint);
  }

  private leave(fingerprint: string, entry: Entry): void {
    entry.quarantinedMs = undefined;
    this.quarantined.delete(fingerprint);
  }

  private dropOldestSuspect(): void {
    for (const fingerprint of this.entries.keys()) {
      if (this.quarantined.has(fingerprint)) continue;
      this.drop(fingerprint);
      return;
    }
  }

  private drop(fingerprint: string): void {
    this.entries.delete(fingerprint);
    this.quarantined.delete(fingerprint);
  }
}

function lifetimeOf({ quarantinedMs, crashedMs }: Entry): number {
  if (quarantinedMs !== undefined) return QUARANTINE_LIFETIME_MS;
  return crashedMs.size > 0 ? SUSPICION_LIFETIME_MS : CLEARANCE_LIFETIME_MS;
}
