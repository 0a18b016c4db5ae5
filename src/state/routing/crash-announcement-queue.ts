/**
 * What a router announces of crashed engines and of requests in quarantine. Datagrams get lost, so
 * each notice goes into several reports; requests in quarantine are repeated for as long as they are in it,
 * by turns, so that a router that starts or was cut off hears of all of them within seconds.
 */

/** An engine that crashed, and requests that broke with it. */
export interface EngineCrashAnnouncement {
  readonly engineId: string;
  readonly fingerprints: readonly string[];
  /** Time since the crash was found, in milliseconds. */
  readonly ageMs: number;
}

/** A request that entered quarantine, or that was cleared. */
export interface QuarantineAnnouncement {
  readonly fingerprint: string;
  readonly isCleared: boolean;
  /** Time since then, in milliseconds. */
  readonly ageMs: number;
}

/** What one report carries. */
export interface CrashAnnouncements {
  readonly crashes: readonly EngineCrashAnnouncement[];
  readonly quarantine: readonly QuarantineAnnouncement[];
}

interface Pending {
  atMs: number;
  remaining: number;
}

interface PendingCrash extends Pending {
  readonly engineId: string;
  readonly fingerprints: string[];
}

interface PendingClearance extends Pending {
  readonly fingerprint: string;
}

/** Reports that carry a notice: with a tenth of the datagrams lost, one router in 10,000 hears none. */
const REPEATS = 4;
/**
 * Reports that carry a notice which another router sent. In a large group each goes to four routers, so a
 * router is sent a notice eight times in the mean; one in 1,000 hears none where a tenth is lost, and of a
 * request in quarantine it hears all the same.
 */
const PASSED_ON_REPEATS = 2;
/** Of a crash one notice names this many requests at most, so that a report fits one datagram. */
const FINGERPRINTS_PER_NOTICE = 16;
/**
 * Routers find one crash within this time of each other, in milliseconds. Their notices are passed on as one,
 * so that a crash makes a few notices however many routers had requests at the engine.
 */
const SAME_CRASH_MS = 250;
const CRASHES_PER_REPORT = 3;
const CLEARANCES_PER_REPORT = 8;
/** Requests in quarantine that each report repeats. */
const QUARANTINED_PER_REPORT = 8;
/** Notices that wait; a loss of all engines at once makes fewer. */
const MAXIMUM_PENDING = 512;

/** Notices that wait to be announced. */
export class CrashAnnouncementQueue {
  private crashes: PendingCrash[] = [];
  private clearances: PendingClearance[] = [];
  private turn = 0;

  /** Whether there is anything new to announce. */
  get hasNews(): boolean {
    return this.crashes.length > 0 || this.clearances.length > 0;
  }

  /** Notes a crash that this router found. */
  addCrash(engineId: string, fingerprints: readonly string[], atMs: number): void {
    this.putCrash(engineId, fingerprints, atMs, REPEATS);
  }

  /** Notes a crash that another router found, to be passed on. */
  passOnCrash(engineId: string, fingerprints: readonly string[], atMs: number): void {
    this.putCrash(engineId, fingerprints, atMs, PASSED_ON_REPEATS);
  }

  /** Notes that this router found a request innocent. */
  addClearance(fingerprint: string, atMs: number): void {
    this.putClearance(fingerprint, atMs, REPEATS);
  }

  /** Notes that another router did, to be passed on. */
  passOnClearance(fingerprint: string, atMs: number): void {
    this.putClearance(fingerprint, atMs, PASSED_ON_REPEATS);
  }

  private putCrash(
    engineId: string,
    fingerprints: readonly string[],
    atMs: number,
    remaining: number,
  ): void {
    const rest = this.joinPresent(engineId, fingerprints, atMs, remaining);
    for (let start = 0; start < rest.length; start += FINGERPRINTS_PER_NOTICE) {
      if (this.crashes.length >= MAXIMUM_PENDING) this.crashes.shift();
      const named = rest.slice(start, start + FINGERPRINTS_PER_NOTICE);
      this.crashes.push({ engineId, fingerprints: named, atMs, remaining });
    }
  }

  private putClearance(fingerprint: string, atMs: number, remaining: number): void {
    if (this.clearances.length >= MAXIMUM_PENDING) this.clearances.shift();
    this.clearances.push({ fingerprint, atMs, remaining });
  }

  /** What the next report carries; call once a report. */
  take(quarantinedSince: ReadonlyMap<string, number>, nowMs: number): CrashAnnouncements {
    const crashes = takeFirst(this.crashes, CRASHES_PER_REPORT);
    const clearances = takeFirst(this.clearances, CLEARANCES_PER_REPORT);
    this.crashes = this.crashes.filter(({ remaining }) => remaining > 0);
    this.clearances = this.clearances.filter(({ remaining }) => remaining > 0);
    const age = (atMs: number): number => Math.max(0, Math.round(nowMs - atMs));
    return {
      crashes: crashes.map(({ engineId, fingerprints, atMs }) => ({
        engineId,
        fingerprints: [...fingerprints],
        ageMs: age(atMs),
      })),
      quarantine: [
        ...clearances.map(({ fingerprint, atMs }) => ({
          fingerprint,
          isCleared: true,
          ageMs: age(atMs),
        })),
        ...this.nextQuarantined(quarantinedSince).map(([fingerprint, sinceMs]) => ({
          fingerprint,
          isCleared: false,
          ageMs: age(sinceMs),
        })),
      ],
    };
  }

  /** Adds requests to a notice of the same crash that still waits; answers those that found no room. */
  private joinPresent(
    engineId: string,
    fingerprints: readonly string[],
    atMs: number,
    remaining: number,
  ): readonly string[] {
    const present = this.crashes.find(
      (crash) =>
        crash.engineId === engineId &&
        crash.fingerprints.length < FINGERPRINTS_PER_NOTICE &&
        Math.abs(crash.atMs - atMs) <= SAME_CRASH_MS,
    );
    if (!present) return fingerprints;
    const room = FINGERPRINTS_PER_NOTICE - present.fingerprints.length;
    const joined = fingerprints.filter((each) => !present.fingerprints.includes(each));
    if (joined.length === 0) return joined;
    present.fingerprints.push(...joined.slice(0, room));
    present.remaining = Math.max(present.remaining, remaining);
    // The earlier time: what cleared a request since then clears it for this notice too.
    present.atMs = Math.min(present.atMs, atMs);
    return joined.slice(room);
  }

  private nextQuarantined(since: ReadonlyMap<string, number>): [string, number][] {
    const all = [...since];
    if (all.length <= QUARANTINED_PER_REPORT) return all;
    const start = (this.turn * QUARANTINED_PER_REPORT) % all.length;
    this.turn += 1;
    return [...all.slice(start), ...all.slice(0, start)].slice(0, QUARANTINED_PER_REPORT);
  }
}

/** The notices with the most announcements left, each counted as announced once more. */
function takeFirst<Notice extends Pending>(pending: readonly Notice[], count: number): Notice[] {
  const first = [...pending].sort((a, b) => b.remaining - a.remaining).slice(0, count);
  for (const notice of first) notice.remaining -= 1;
  return first;
}
