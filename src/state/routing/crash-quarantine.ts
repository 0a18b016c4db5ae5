/**
 * Tracks requests, or parts of prompts, that were running on engines when these crashed, by
 * fingerprint. One that was running at the crashes of several engines and never completed
 * successfully is quarantined as the probable cause: it is not sent to any engine again. Pure;
 * bounded in entries and time.
 *
 * A crash interrupts every request on the engine, most of which did not cause it. These are not
 * quarantined, because a quarantine requires crashes of several engines, and because one successful
 * completion clears a request.
 *
 * Engines that fail together interrupt copies of a popular request at several of them. Such a request
 * is quarantined provisionally: a trial, one send at a time, confirms or lifts the quarantine.
 */
import {
  type CrashedRun,
  countDistinctCrashes,
  crashSpanMs,
  lastCrashMs,
  mergeRuns,
} from './crash-evidence.js';
import {
  type QuarantineEntry,
  createEntry,
  hasCompleted,
  lifetimeOf,
  sharedEnginesOf,
} from './quarantine-entry.js';
import { DEFAULT_REQUEST_QUARANTINE_POLICY, type QuarantinePolicy } from './quarantine-policy.js';
import { QuarantineTrials, type TrialRecord } from './quarantine-trials.js';
import { EngineCrashTimes, TRIAL_SLACK_MS, haveTrialsFailed } from './trial-verdict.js';

/** The effect of a recorded event. */
export enum QuarantineChange {
  None = 'none',
  /** A crash was recorded that does not quarantine the subject. */
  Suspected = 'suspected',
  Quarantined = 'quarantined',
  /** The provisional quarantine of the subject is final now. */
  Confirmed = 'confirmed',
  /** The subject was suspected, but not quarantined, and is cleared. */
  Cleared = 'cleared',
  /** The subject was quarantined and is released. */
  Lifted = 'lifted',
}

/** Returns groups of the given engines whose crashes count as one. */
export type RelatedCrashes = (engineIds: ReadonlySet<string>) => readonly (readonly string[])[];

/** At this size the least recently updated entry that is not quarantined is evicted. */
const MAXIMUM_ENTRIES = 4_096;
const MAXIMUM_QUARANTINED = 512;
/** Number of crashes by which the likelier cause may be behind another subject. */
const RIVAL_LAG_CRASHES = 2;
/**
 * Share of the crashed engines of another subject at which the likelier cause must have been running.
 * Engines that crash one after the other during one request count as one crash, so a subject that was
 * at few engines may still be at most of the crashes.
 */
const MINIMUM_RIVAL_ENGINE_SHARE = 0.5;
/** Incarnations that have crashed leave the engine list within seconds. */
const MAXIMUM_EXPLAINED_CRASHES = 1_024;

/** The suspected and quarantined requests, or prompt parts, known to one router. */
export class CrashQuarantine {
  /** By fingerprint, the least recently updated first. */
  private readonly entries = new Map<string, QuarantineEntry>();
  private readonly quarantined = new Set<string>();
  /** Crashed engines during which a quarantined subject was running. */
  private readonly explainedCrashes = new Set<string>();
  private readonly engineCrashes = new EngineCrashTimes();
  private readonly trials = new QuarantineTrials();

  /**
   * @param relatedCrashes groups the crashes of engines that count as one, because one request was
   * running at all of them
   */
  constructor(
    private readonly policy: QuarantinePolicy = DEFAULT_REQUEST_QUARANTINE_POLICY,
    private readonly relatedCrashes: RelatedCrashes = () => [],
  ) {}

  /** Whether there are no entries, so that no fingerprints need to be computed. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Start times of all quarantines, by fingerprint. */
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

  /** Whether the subject is quarantined for good: no trial will lift the quarantine. */
  isConfirmed(fingerprint: string): boolean {
    return this.entries.get(fingerprint)?.isConfirmed ?? false;
  }

  /** Trials of a quarantined subject; undefined if none was begun. */
  trialsOf(fingerprint: string): TrialRecord | undefined {
    return this.trials.recordOf(fingerprint);
  }

  /** Whether the subject is quarantined provisionally and no trial may begin yet. */
  isTrialPausing(fingerprint: string, nowMs: number): boolean {
    const quarantinedMs = this.provisionalSince(fingerprint);
    if (quarantinedMs === undefined) return false;
    return this.trials.isPausing(fingerprint, quarantinedMs, nowMs);
  }

  /**
   * Begins a trial of a provisionally quarantined subject, which could be sent now, if it is this
   * router's turn; see {@link QuarantineTrials.tryBegin}.
   */
  tryBeginTrial(fingerprint: string, rank: number, nowMs: number): boolean {
    const quarantinedMs = this.provisionalSince(fingerprint);
    if (quarantinedMs === undefined) return false;
    return this.trials.tryBegin(fingerprint, quarantinedMs, rank, nowMs);
  }

  /** Trials of a quarantined subject that other routers may be told of; undefined if there are none. */
  publicTrialsOf(fingerprint: string): TrialRecord | undefined {
    return this.trials.publicRecordOf(fingerprint);
  }

  /** See {@link QuarantineTrials.publish}. */
  publishTrial(fingerprint: string, startedMs: number): boolean {
    return this.trials.publish(fingerprint, startedMs);
  }

  /** Takes a trial back that reached no engine. */
  withdrawTrial(fingerprint: string): void {
    this.trials.withdraw(fingerprint);
  }

  /** Records trials that another router knows of. Returns whether one of them is new. */
  noteTrials(fingerprint: string, count: number, lastMs: number): boolean {
    if (this.provisionalSince(fingerprint) === undefined) return false;
    return this.trials.note(fingerprint, count, lastMs);
  }

  /** Whether the subject was cleared at or after `atMs`, so that events up to then are ignored. */
  isClearedSince(fingerprint: string, atMs: number): boolean {
    return atMs <= (this.entries.get(fingerprint)?.clearedMs ?? -Infinity);
  }

  /** Engines that crashed while the subject was running. */
  crashedEngines(fingerprint: string): string[] {
    return [...(this.entries.get(fingerprint)?.crashes.keys() ?? [])];
  }

  /** Number of crashes while the subject was running; those that happened together count once. */
  crashCount(fingerprint: string): number {
    const entry = this.entries.get(fingerprint);
    return entry ? this.crashesOf(entry) : 0;
  }

  /**
   * Records that an engine crashed at `atMs` while the subject was running. Returns false if the crash
   * is known, or its cause is. All subjects of a crash must be recorded before one is judged, since
   * they are compared.
   *
   * @param sentMs when the first copy that was running there was sent; `atMs` if that is not known
   */
  recordCrash(fingerprint: string, engineId: string, atMs: number, sentMs = atMs): boolean {
    const entry = this.getOrCreate(fingerprint, atMs);
    this.engineCrashes.record(engineId, atMs);
    const run = { sentMs, crashedMs: atMs };
    if (atMs <= entry.clearedMs) return false;
    const known = entry.crashes.get(engineId);
    if (known) return this.recordEarlierCopy(entry, engineId, known, run);
    const isQuarantined = this.quarantined.has(fingerprint);
    if (!isQuarantined && this.explainedCrashes.has(engineId)) return false;
    entry.crashes.set(engineId, run);
    if (isQuarantined) this.explainCrashes([engineId]);
    return true;
  }

  /** Decides whether the crashes recorded for the subject quarantine it, or confirm its quarantine. */
  judge(fingerprint: string, nowMs: number): QuarantineChange {
    const entry = this.entries.get(fingerprint);
    if (!entry || entry.isConfirmed) return QuarantineChange.Suspected;
    const isProven = this.isProven(fingerprint, entry, nowMs);
    if (this.quarantined.has(fingerprint)) {
      if (!isProven) return QuarantineChange.Suspected;
      this.confirm(fingerprint, entry);
      return QuarantineChange.Confirmed;
    }
    const isThresholdReached =
      isProven || (this.policy.hasTrials && entry.crashes.size >= this.policy.crashes);
    if (!isThresholdReached || this.hasLikelierCause(entry)) return QuarantineChange.Suspected;
    this.addToQuarantine(fingerprint, entry, lastCrashMs(entry.crashes), isProven);
    this.explainCrashes([...entry.crashes.keys()]);
    return QuarantineChange.Quarantined;
  }

  /** Groups of these engines that crashed while one suspected subject was running at all of them. */
  crashesOfOneSubject(engineIds: ReadonlySet<string>): string[][] {
    return [...this.entries.values()]
      .map(({ crashes }) => [...crashes.keys()].filter((each) => engineIds.has(each)))
      .filter((group) => group.length > 1);
  }

  /** Drops the crashes of engines, whose cause is known, from all subjects not in quarantine. */
  private explainCrashes(engineIds: readonly string[]): void {
    if (!this.policy.hasSingleCause) return;
    for (const engineId of engineIds) {
      if (this.explainedCrashes.size >= MAXIMUM_EXPLAINED_CRASHES) this.explainedCrashes.clear();
      this.explainedCrashes.add(engineId);
    }
    for (const [fingerprint, entry] of this.entries) {
      if (this.quarantined.has(fingerprint)) continue;
      for (const engineId of engineIds) entry.crashes.delete(engineId);
    }
  }

  /**
   * Records that the subject is quarantined by another router or in the store since `sinceMs`.
   *
   * @param isConfirmed whether no trial is to be made
   */
  noteQuarantined(fingerprint: string, sinceMs: number, isConfirmed = true): QuarantineChange {
    const isFinal = isConfirmed || !this.policy.hasTrials;
    const present = this.entries.get(fingerprint);
    if (present && this.quarantined.has(fingerprint)) {
      if (!isFinal || present.isConfirmed) return QuarantineChange.None;
      this.confirm(fingerprint, present);
      return QuarantineChange.Confirmed;
    }
    const entry = this.getOrCreate(fingerprint, sinceMs);
    if (sinceMs <= entry.clearedMs) return QuarantineChange.None;
    this.addToQuarantine(fingerprint, entry, sinceMs, isFinal);
    this.explainCrashes([...entry.crashes.keys()]);
    return QuarantineChange.Quarantined;
  }

  /** Records that the subject completed successfully at `atMs`, or that an operator released it. */
  noteCleared(fingerprint: string, atMs: number): QuarantineChange {
    const entry = this.entries.get(fingerprint);
    if (!entry || atMs <= entry.clearedMs) return QuarantineChange.None;
    const isSuspected = entry.crashes.size > 0;
    const isLifted = (entry.quarantinedMs ?? Infinity) <= atMs;
    entry.clearedMs = atMs;
    entry.updatedMs = Math.max(entry.updatedMs, atMs);
    for (const [engineId, { crashedMs }] of entry.crashes) {
      if (crashedMs <= atMs) entry.crashes.delete(engineId);
    }
    if (isLifted) {
      this.release(fingerprint, entry);
      return QuarantineChange.Lifted;
    }
    return isSuspected ? QuarantineChange.Cleared : QuarantineChange.None;
  }

  /** Drops expired entries and returns the fingerprints whose quarantine has expired. */
  expire(nowMs: number): string[] {
    const expired: string[] = [];
    for (const [fingerprint, entry] of this.entries) {
      const isQuarantined = this.quarantined.has(fingerprint);
      if (nowMs - entry.updatedMs <= lifetimeOf(entry)) continue;
      if (isQuarantined) expired.push(fingerprint);
      this.drop(fingerprint);
    }
    return expired;
  }

  /** Start of a provisional quarantine; undefined if the subject is in none. */
  private provisionalSince(fingerprint: string): number | undefined {
    if (!this.quarantined.has(fingerprint)) return undefined;
    const entry = this.entries.get(fingerprint);
    return entry?.isConfirmed ? undefined : entry?.quarantinedMs;
  }

  /** Whether the crashes prove that the subject is their cause, so that no trial is needed. */
  private isProven(fingerprint: string, entry: QuarantineEntry, nowMs: number): boolean {
    const { crashes, unprovenWithinMs } = this.policy;
    if (this.crashesOf(entry) >= crashes && crashSpanMs(entry.crashes) >= unprovenWithinMs)
      return true;
    const trials = this.trials.recordOf(fingerprint);
    return haveTrialsFailed(entry.crashes, trials, this.engineCrashes, nowMs);
  }

  /**
   * Records an earlier copy at an engine whose crash is known. Returns whether it tells much more than
   * the one that is known.
   */
  private recordEarlierCopy(
    entry: QuarantineEntry,
    engineId: string,
    known: CrashedRun,
    run: CrashedRun,
  ): boolean {
    if (!this.policy.hasTrials) return false;
    entry.crashes.set(engineId, mergeRuns(known, run));
    return run.sentMs < known.sentMs - TRIAL_SLACK_MS;
  }

  private crashesOf({ crashes }: QuarantineEntry): number {
    const { mergedWithinMs } = this.policy;
    if (crashes.size < 2) return crashes.size;
    const related = this.relatedCrashes(new Set(crashes.keys()));
    return countDistinctCrashes(crashes, mergedWithinMs, related);
  }

  /** Whether another subject that was running at the same crashes is the likelier cause. */
  private hasLikelierCause(entry: QuarantineEntry): boolean {
    if (!this.policy.hasSingleCause) return false;
    const crashes = this.crashesOf(entry);
    return [...this.entries.values()].some(
      (rival) => rival !== entry && this.isLikelierCause(rival, entry, crashes),
    );
  }

  /**
   * Whether the rival is likelier than the other subject to have caused the crashes that they share:
   * it never completed, where the other one did, or not for longer and is at as many crashes, or is in
   * fewer requests. It may be a little behind, since routers report the same crash at different times.
   *
   * @param crashes number of crashes of the other subject
   */
  private isLikelierCause(
    rival: QuarantineEntry,
    other: QuarantineEntry,
    crashes: number,
  ): boolean {
    if (rival.quarantinedMs !== undefined) return false;
    const sharedEngines = sharedEnginesOf(rival, other);
    if (sharedEngines === undefined) return false;
    if (sharedEngines < other.crashes.size * MINIMUM_RIVAL_ENGINE_SHARE) return false;
    if (hasCompleted(rival) !== hasCompleted(other)) return hasCompleted(other);
    const isRarer = rival.crashes.size < other.crashes.size;
    if (!isRarer) return rival.clearedMs < other.clearedMs;
    return crashes - this.crashesOf(rival) <= RIVAL_LAG_CRASHES;
  }

  private getOrCreate(fingerprint: string, atMs: number): QuarantineEntry {
    const present = this.entries.get(fingerprint);
    const entry = present ?? createEntry(atMs);
    entry.updatedMs = Math.max(entry.updatedMs, atMs);
    this.entries.delete(fingerprint);
    if (this.entries.size >= MAXIMUM_ENTRIES) this.evictOldestSuspect();
    this.entries.set(fingerprint, entry);
    return entry;
  }

  private addToQuarantine(
    fingerprint: string,
    entry: QuarantineEntry,
    sinceMs: number,
    isConfirmed: boolean,
  ): void {
    entry.quarantinedMs = sinceMs;
    entry.isConfirmed = isConfirmed;
    if (this.quarantined.size >= MAXIMUM_QUARANTINED) {
      const [oldest] = this.quarantined;
      if (oldest !== undefined) this.drop(oldest);
    }
    this.quarantined.add(fingerprint);
  }

  private confirm(fingerprint: string, entry: QuarantineEntry): void {
    entry.isConfirmed = true;
    this.trials.forget(fingerprint);
  }

  private release(fingerprint: string, entry: QuarantineEntry): void {
    entry.quarantinedMs = undefined;
    entry.isConfirmed = false;
    this.quarantined.delete(fingerprint);
    this.trials.forget(fingerprint);
  }

  private evictOldestSuspect(): void {
    for (const fingerprint of this.entries.keys()) {
      if (this.quarantined.has(fingerprint)) continue;
      this.drop(fingerprint);
      return;
    }
  }

  private drop(fingerprint: string): void {
    this.entries.delete(fingerprint);
    this.quarantined.delete(fingerprint);
    this.trials.forget(fingerprint);
  }
}
