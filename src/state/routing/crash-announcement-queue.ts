/**
 * Queue of announcements about crashed engines and quarantined requests. Reports are sent as
 * datagrams, which may be lost, so each announcement is repeated in several reports. Quarantined
 * requests are repeated in rotation for as long as they stay in quarantine, so that a router that
 * has just started or was partitioned learns all of them within seconds.
 */
import type { TrialRecord } from './quarantine-trials.js';

/** An engine crash and the requests that failed with it. */
export interface EngineCrashAnnouncement {
  readonly engineId: string;
  readonly fingerprints: readonly string[];
  /** Time since the crash, in milliseconds. */
  readonly ageMs: number;
  /**
   * Time since the first copy of each request was sent there, in milliseconds, in the same order;
   * undefined if it is not known.
   */
  readonly sentAgesMs?: readonly number[];
}

/** A request that entered or left quarantine. */
export interface QuarantineAnnouncement {
  readonly fingerprint: string;
  readonly isCleared: boolean;
  /** Time since that change, in milliseconds. */
  readonly ageMs: number;
  /** Whether no trial is made of a request in quarantine; undefined if it left the quarantine. */
  readonly isConfirmed?: boolean;
}

/** A request in provisional quarantine, and the trials of it. */
export interface ProvisionalAnnouncement {
  readonly fingerprint: string;
  /** Time since it entered quarantine, in milliseconds. */
  readonly ageMs: number;
  /** Number of trials that were begun. */
  readonly trials: number;
  /** Time since the last one began, in milliseconds; 0 without trials. */
  readonly trialAgeMs: number;
}

/** A request in provisional quarantine, as a router knows it. */
export interface ProvisionalSubject {
  readonly fingerprint: string;
  /** Monotonic time, in milliseconds. */
  readonly sinceMs: number;
  /** Undefined if no trial was begun. */
  readonly trials: TrialRecord | undefined;
}

/** Announcements carried by one report. */
export interface CrashAnnouncements {
  readonly crashes: readonly EngineCrashAnnouncement[];
  readonly quarantine: readonly QuarantineAnnouncement[];
  /** Left out if there are none. */
  readonly provisional?: readonly ProvisionalAnnouncement[];
}

/** The announcements of one report on requests and on prompt parts. */
export interface SuspectAnnouncements {
  readonly requests: CrashAnnouncements;
  readonly promptParts: CrashAnnouncements;
}

export const NO_CRASH_ANNOUNCEMENTS: CrashAnnouncements = { crashes: [], quarantine: [] };

interface PendingAnnouncement {
  atMs: number;
  remaining: number;
}

interface PendingCrash extends PendingAnnouncement {
  readonly engineId: string;
  /** When the first copy of each request was sent, by fingerprint; undefined if not known. */
  readonly sentMs: Map<string, number | undefined>;
}

type SentTimes = PendingCrash['sentMs'];

interface PendingClearance extends PendingAnnouncement {
  readonly fingerprint: string;
}

/** Number of reports that carry an announcement from this router. */
const ANNOUNCEMENT_REPEATS = 4;
/**
 * Number of reports that carry a relayed announcement. Lower than {@link ANNOUNCEMENT_REPEATS}
 * because several routers relay the same announcement.
 */
const RELAY_REPEATS = 2;
/** Maximum requests in one crash announcement, so that a report fits into one datagram. */
const FINGERPRINTS_PER_ANNOUNCEMENT = 16;
/**
 * Detections of the same engine's crash within this time are merged into one announcement, so that
 * the traffic does not grow with the number of routers that detected it.
 */
const SAME_CRASH_MS = 250;
const CRASHES_PER_REPORT = 3;
const CLEARANCES_PER_REPORT = 8;
/** Quarantined requests repeated in each report. */
const QUARANTINED_PER_REPORT = 8;
/** Maximum announcements in each queue; the oldest are dropped first. */
const MAXIMUM_PENDING = 512;

/** Pending announcements of crashes and of cleared requests. */
export class CrashAnnouncementQueue {
  private crashes: PendingCrash[] = [];
  private clearances: PendingClearance[] = [];
  private rotation = 0;

  /** Whether any announcement is pending. */
  get hasPending(): boolean {
    return this.crashes.length > 0 || this.clearances.length > 0;
  }

  /**
   * Queues a crash detected by this router.
   *
   * @param sentMs when the first copy of each request was sent, in the same order; empty if not known
   */
  addCrash(
    engineId: string,
    fingerprints: readonly string[],
    atMs: number,
    sentMs: readonly number[] = [],
  ): void {
    const first = sentTimesOf(fingerprints, sentMs);
    this.enqueueCrash({ engineId, sentMs: first, atMs, remaining: ANNOUNCEMENT_REPEATS });
  }

  /** Queues a crash received from another router, to relay it; see {@link addCrash}. */
  relayCrash(
    engineId: string,
    fingerprints: readonly string[],
    atMs: number,
    sentMs: readonly number[] = [],
  ): void {
    const first = sentTimesOf(fingerprints, sentMs);
    this.enqueueCrash({ engineId, sentMs: first, atMs, remaining: RELAY_REPEATS });
  }

  /** Queues the clearance of a request by this router. */
  addClearance(fingerprint: string, atMs: number): void {
    this.enqueueClearance(fingerprint, atMs, ANNOUNCEMENT_REPEATS);
  }

  /** Queues a clearance received from another router, to relay it. */
  relayClearance(fingerprint: string, atMs: number): void {
    this.enqueueClearance(fingerprint, atMs, RELAY_REPEATS);
  }

  private enqueueCrash(crash: PendingCrash): void {
    const unmerged = [...this.mergeIntoPending(crash)];
    for (let start = 0; start < unmerged.length; start += FINGERPRINTS_PER_ANNOUNCEMENT) {
      if (this.crashes.length >= MAXIMUM_PENDING) this.crashes.shift();
      const batch = unmerged.slice(start, start + FINGERPRINTS_PER_ANNOUNCEMENT);
      this.crashes.push({ ...crash, sentMs: new Map(batch) });
    }
  }

  private enqueueClearance(fingerprint: string, atMs: number, remaining: number): void {
    if (this.clearances.length >= MAXIMUM_PENDING) this.clearances.shift();
    this.clearances.push({ fingerprint, atMs, remaining });
  }

  /**
   * Removes and returns the content of the next report. Must be called once per report.
   *
   * @param quarantinedSince requests in confirmed quarantine, with its start
   */
  take(
    quarantinedSince: ReadonlyMap<string, number>,
    nowMs: number,
    provisional: readonly ProvisionalSubject[] = [],
  ): CrashAnnouncements {
    const crashes = takeLeastAnnounced(this.crashes, CRASHES_PER_REPORT);
    const clearances = takeLeastAnnounced(this.clearances, CLEARANCES_PER_REPORT);
    this.crashes = this.crashes.filter(({ remaining }) => remaining > 0);
    this.clearances = this.clearances.filter(({ remaining }) => remaining > 0);
    const age = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
    return {
      crashes: crashes.map((crash) => announcementOf(crash, age)),
      quarantine: [
        ...clearances.map(({ fingerprint, atMs }) => ({
          fingerprint,
          isCleared: true,
          ageMs: age(atMs),
        })),
        ...this.nextBatch([...quarantinedSince]).map(([fingerprint, sinceMs]) => ({
          fingerprint,
          isCleared: false,
          isConfirmed: true,
          ageMs: age(sinceMs),
        })),
      ],
      ...(provisional.length > 0 && {
        provisional: this.nextBatch(provisional).map(({ fingerprint, sinceMs, trials }) => ({
          fingerprint,
          ageMs: age(sinceMs),
          trials: trials?.count ?? 0,
          trialAgeMs: trials ? age(trials.lastMs) : 0,
        })),
      }),
    };
  }

  /**
   * Merges requests into a pending announcement of the same crash. Returns those that did not fit.
   */
  private mergeIntoPending({ engineId, sentMs, atMs, remaining }: PendingCrash): SentTimes {
    const pending = this.crashes.find(
      (crash) =>
        crash.engineId === engineId &&
        crash.sentMs.size < FINGERPRINTS_PER_ANNOUNCEMENT &&
        Math.abs(crash.atMs - atMs) <= SAME_CRASH_MS,
    );
    if (!pending) return sentMs;
    const unmerged: SentTimes = new Map();
    let isChanged = false;
    for (const [fingerprint, firstMs] of sentMs) {
      const isKnown = pending.sentMs.has(fingerprint);
      if (!isKnown && pending.sentMs.size >= FINGERPRINTS_PER_ANNOUNCEMENT) {
        unmerged.set(fingerprint, firstMs);
        continue;
      }
      const knownMs = pending.sentMs.get(fingerprint);
      if (isKnown && (firstMs ?? Infinity) >= (knownMs ?? Infinity)) continue;
      pending.sentMs.set(fingerprint, firstMs);
      isChanged = true;
    }
    if (!isChanged) return unmerged;
    pending.remaining = Math.max(pending.remaining, remaining);
    // Keep the earlier time: a clearance since then applies to the merged announcement too.
    pending.atMs = Math.min(pending.atMs, atMs);
    return unmerged;
  }

  private nextBatch<Item>(items: readonly Item[]): readonly Item[] {
    if (items.length <= QUARANTINED_PER_REPORT) return items;
    const start = (this.rotation * QUARANTINED_PER_REPORT) % items.length;
    this.rotation += 1;
    return [...items.slice(start), ...items.slice(0, start)].slice(0, QUARANTINED_PER_REPORT);
  }
}

function sentTimesOf(fingerprints: readonly string[], sentMs: readonly number[]): SentTimes {
  return new Map(fingerprints.map((fingerprint, index) => [fingerprint, sentMs[index]]));
}

function announcementOf(
  { engineId, sentMs, atMs }: PendingCrash,
  age: (atMs: number) => number,
): EngineCrashAnnouncement {
  const fingerprints = [...sentMs.keys()];
  const isSentKnown = [...sentMs.values()].some((firstMs) => firstMs !== undefined);
  if (!isSentKnown) return { engineId, fingerprints, ageMs: age(atMs) };
  const sentAgesMs = [...sentMs.values()].map((firstMs) => age(firstMs ?? atMs));
  return { engineId, fingerprints, ageMs: age(atMs), sentAgesMs };
}

/** Returns the announcements with the most repeats remaining and decrements their counters. */
function takeLeastAnnounced<Announcement extends PendingAnnouncement>(
  pending: readonly Announcement[],
  count: number,
): Announcement[] {
  const first = [...pending].sort((a, b) => b.remaining - a.remaining).slice(0, count);
  for (const announcement of first) announcement.remaining -= 1;
  return first;
}
