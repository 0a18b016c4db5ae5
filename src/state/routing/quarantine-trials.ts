/**
 * Schedules the trials of subjects in provisional quarantine. A trial is one send by one router: its
 * success shows that the subject is sound, a crash of its engine that it is the cause. Routers take
 * turns without asking each other: after the pause, the one ranked first for the subject may begin,
 * and with each further turn half as many again, so that one of them has a request to try soon, whether few
 * or all routers receive such requests. A router that begins tells the others, which then hold back.
 * Pure; times are monotonic, in milliseconds.
 */

/** Trials of one subject, as far as a router knows. */
export interface TrialRecord {
  /** Number of trials that were begun. */
  readonly count: number;
  /** When the first one began. */
  readonly firstMs: number;
  /** When the last one began. */
  readonly lastMs: number;
}

interface Trials extends TrialRecord {
  /** When this router could first have begun the next trial; undefined before. */
  readonly possibleSinceMs: number | undefined;
  /** What was known before the last trial. */
  readonly before: Trials | undefined;
  /** Whether other routers may be told of the last trial. */
  readonly isPublic: boolean;
}

/** Time in which copies that are in progress fail or complete, and all routers learn of a quarantine. */
const SETTLING_MS = 300;
/** Pause after the first trial; doubles with each further one. */
const FIRST_PAUSE_MS = 2_000;
const MAXIMUM_PAUSE_MS = 60_000;
/** Time in which routers learn that another one has begun a trial. */
const TURN_MS = 250;
/** By how much more routers may begin with each turn. */
const TURN_GROWTH = 1.5;
/** With as many turns, all routers of the largest group may begin. */
const MAXIMUM_TURNS = 16;
/** Two routers may tell of one trial with times that differ by this much. */
const SAME_TRIAL_MS = 100;

/** The trials of all subjects in provisional quarantine. */
export class QuarantineTrials {
  private readonly trials = new Map<string, Trials>();

  /** The trials of a subject; undefined if none was begun. */
  recordOf(fingerprint: string): TrialRecord | undefined {
    const trials = this.trials.get(fingerprint);
    return trials && trials.count > 0 ? trials : undefined;
  }

  /** The trials of a subject that other routers may be told of; undefined if there are none. */
  publicRecordOf(fingerprint: string): TrialRecord | undefined {
    const trials = this.trials.get(fingerprint);
    const known = trials?.isPublic === false ? trials.before : trials;
    return known && known.count > 0 ? known : undefined;
  }

  /**
   * Lets other routers be told of the last trial, unless it was withdrawn. Returns whether that is new.
   *
   * @param startedMs when the trial began
   */
  publish(fingerprint: string, startedMs: number): boolean {
    const trials = this.trials.get(fingerprint);
    if (trials?.isPublic !== false || trials.lastMs !== startedMs) return false;
    this.trials.set(fingerprint, { ...trials, isPublic: true });
    return true;
  }

  /** Whether no router may begin a trial yet. */
  isPausing(fingerprint: string, quarantinedMs: number, nowMs: number): boolean {
    return nowMs < this.nextMs(fingerprint, quarantinedMs);
  }

  /**
   * Begins a trial if it is this router's turn; called when the subject could be sent.
   *
   * @param rank number of routers that come before this one for the subject
   */
  tryBegin(fingerprint: string, quarantinedMs: number, rank: number, nowMs: number): boolean {
    const nextMs = this.nextMs(fingerprint, quarantinedMs);
    if (nowMs < nextMs) return false;
    const before = this.trials.get(fingerprint) ?? NO_TRIALS;
    const possibleSinceMs = before.possibleSinceMs ?? nowMs;
    const turns = Math.min(MAXIMUM_TURNS, Math.floor((nowMs - possibleSinceMs) / TURN_MS));
    if (rank >= TURN_GROWTH ** turns) {
      this.trials.set(fingerprint, { ...before, possibleSinceMs });
      return false;
    }
    this.record(fingerprint, before.count + 1, nowMs, false);
    return true;
  }

  /** Takes the last trial back, which this router has begun and which reached no engine. */
  withdraw(fingerprint: string): void {
    const before = this.trials.get(fingerprint)?.before;
    if (before) this.trials.set(fingerprint, before);
    else this.trials.delete(fingerprint);
  }

  /** Records a trial that another router has begun. Returns whether it was not known. */
  note(fingerprint: string, count: number, startedMs: number): boolean {
    const { count: knownCount, lastMs } = this.trials.get(fingerprint) ?? NO_TRIALS;
    if (count <= knownCount && startedMs <= lastMs + SAME_TRIAL_MS) return false;
    this.record(fingerprint, Math.max(count, knownCount), Math.max(startedMs, lastMs), true);
    return true;
  }

  /** Forgets the trials of a subject that has left the provisional quarantine. */
  forget(fingerprint: string): void {
    this.trials.delete(fingerprint);
  }

  private record(fingerprint: string, count: number, startedMs: number, isPublic: boolean): void {
    const known = this.trials.get(fingerprint) ?? NO_TRIALS;
    this.trials.set(fingerprint, {
      count,
      firstMs: Math.min(known.firstMs, startedMs),
      lastMs: startedMs,
      possibleSinceMs: undefined,
      before: { ...known, before: undefined },
      isPublic,
    });
  }

  private nextMs(fingerprint: string, quarantinedMs: number): number {
    const { count, lastMs } = this.trials.get(fingerprint) ?? NO_TRIALS;
    if (count === 0) return quarantinedMs + SETTLING_MS;
    return lastMs + Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (count - 1));
  }
}

const NO_TRIALS: Trials = {
  count: 0,
  firstMs: Infinity,
  lastMs: -Infinity,
  possibleSinceMs: undefined,
  before: undefined,
  isPublic: true,
};
