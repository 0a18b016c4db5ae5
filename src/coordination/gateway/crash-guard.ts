/**
 * Quarantines requests, or prompt parts, that crash engines. Counts the crashes during each subject,
 * including those announced by other routers, and clears it once an engine has completed a request
 * with it.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import {
  type CrashAnnouncements,
  CrashAnnouncementQueue,
  type EngineCrashAnnouncement,
  type ProvisionalAnnouncement,
  type ProvisionalSubject,
  type QuarantineAnnouncement,
} from '../../state/routing/crash-announcement-queue.js';
import {
  QuarantineChange,
  type RelatedCrashes,
  CrashQuarantine,
} from '../../state/routing/crash-quarantine.js';
import type { QuarantinePolicy } from '../../state/routing/quarantine-policy.js';
import { COMPANION_WINDOW_MS } from '../../state/routing/trial-verdict.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** What a guard suspects of crashing engines. */
export enum CrashSubject {
  Request = 'request',
  PromptPart = 'prompt-part',
}

/** Dependencies of {@link CrashGuard}. */
export interface CrashGuardParts {
  readonly subject: CrashSubject;
  readonly policy: QuarantinePolicy;
  /** Crashes that count as one; by default none do. */
  readonly relatedCrashes?: RelatedCrashes;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sends new announcements to the other routers immediately. */
  announce(): void;
  /** Number of routers that come before this one for trials of the subject; by default none does. */
  trialRank?(fingerprint: string): number;
}

/** Source from which a router learned of a change. */
export type QuarantineSource = 'own' | 'router' | 'store';

/** Receives changes of the confirmed quarantine. */
export interface QuarantineListener {
  /** The request was quarantined for good and must not be sent to an engine. */
  onQuarantined(fingerprint: string, source: QuarantineSource): void;
  /** The request was released from that quarantine. */
  onLifted(fingerprint: string, source: QuarantineSource): void;
}

/** Number of crashes after which this router leaves retries of the request to the caller. */
const CRASHES_WITHOUT_RETRY = 2;
/** Time in which a trial shows that its engine is gone; the others need not hold back then. */
const TRIAL_REACH_MS = 20;
/** Assumed duration of runs if another router does not report when they were sent. */
const ASSUMED_RUN_MS = 200;
/** Time for the announcements of crashes that happened within the window. */
const JUDGE_SLACK_MS = 100;

/** A crash of an engine, with the subjects that it was running; times are monotonic, in milliseconds. */
export interface SuspectedCrash {
  readonly engineId: string;
  readonly fingerprints: readonly string[];
  /** When the first copy of each of them was sent, in the same order; not known if left out. */
  readonly sentMs?: readonly number[];
  /** When it crashed; now if left out. */
  readonly atMs?: number;
}

/** Tracks suspected and quarantined subjects of one kind for one router. */
export class CrashGuard {
  private readonly quarantine: CrashQuarantine;
  private readonly announcements = new CrashAnnouncementQueue();
  private listener: QuarantineListener | undefined;

  constructor(private readonly parts: CrashGuardParts) {
    this.quarantine = new CrashQuarantine(parts.policy, parts.relatedCrashes);
  }

  /** Must be called before the first request. */
  connect(listener: QuarantineListener): void {
    this.listener = listener;
  }

  /** Whether any request is suspected or quarantined; otherwise fingerprints aren't needed. */
  get hasSuspects(): boolean {
    return !this.quarantine.isEmpty;
  }

  /** Whether there are announcements to send to the other routers. */
  get hasAnnouncements(): boolean {
    return this.announcements.hasPending;
  }

  /** Whether the request is quarantined, for good or provisionally. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantine.isQuarantined(fingerprint);
  }

  /** Whether the request is quarantined for good. */
  isConfirmed(fingerprint: string): boolean {
    return this.quarantine.isConfirmed(fingerprint);
  }

  /** Whether the request is quarantined provisionally, and no router may try it yet. */
  isTrialPausing(fingerprint: string): boolean {
    return this.quarantine.isTrialPausing(fingerprint, this.parts.clock.now());
  }

  /** Begins a trial of a provisionally quarantined request, unless another router is to make it. */
  tryBeginTrial(fingerprint: string): boolean {
    const { clock } = this.parts;
    const rank = this.parts.trialRank?.(fingerprint) ?? 0;
    const startedMs = clock.now();
    if (!this.quarantine.tryBeginTrial(fingerprint, rank, startedMs)) return false;
    clock.setTimer(TRIAL_REACH_MS, () => {
      if (this.quarantine.publishTrial(fingerprint, startedMs)) this.reportTrial(fingerprint, rank);
    });
    return true;
  }

  /** Whether retries of this request should be left to the caller. */
  leavesRetryToCaller(fingerprint: string): boolean {
    return this.quarantine.crashCount(fingerprint) >= CRASHES_WITHOUT_RETRY;
  }

  /** Takes a trial of this router back that reached no engine, so that the next request is one. */
  withdrawTrial(fingerprint: string): void {
    this.quarantine.withdrawTrial(fingerprint);
  }

  /** Quarantined requests by fingerprint, with the monotonic time of their quarantine. */
  get quarantinedSince(): ReadonlyMap<string, number> {
    return this.quarantine.quarantinedSince;
  }

  /** Engines known to have crashed while running the request. */
  crashedEngines(fingerprint: string): string[] {
    return this.quarantine.crashedEngines(fingerprint);
  }

  /** Records an engine crash that this router detected. */
  noteCrash(crash: SuspectedCrash): void {
    const { engineId, fingerprints, sentMs, atMs = this.parts.clock.now() } = crash;
    if (fingerprints.length === 0) return;
    this.announcements.addCrash(engineId, fingerprints, atMs, sentMs);
    this.countCrash({ ...crash, atMs }, 'own');
    this.parts.announce();
  }

  /** Records that an engine completed the request; clears it. */
  recordSuccess(fingerprint: string): void {
    this.clear(fingerprint, 'own');
  }

  /** Records that an operator removed the request's object from the store; clears the request. */
  noteRemoved(fingerprint: string): void {
    this.clear(fingerprint, 'store');
  }

  /**
   * Records that the store has listed the request as quarantined since `ageMs` ago. Returns false
   * if the request has been cleared since, so that its object should be removed.
   *
   * @param isConfirmed whether no trial is to be made
   */
  noteStored(fingerprint: string, ageMs: number, isConfirmed = true): boolean {
    const sinceMs = this.parts.clock.now() - ageMs;
    if (this.quarantine.isClearedSince(fingerprint, sinceMs)) return false;
    const change = this.quarantine.noteQuarantined(fingerprint, sinceMs, isConfirmed);
    this.report(change, fingerprint, 'store');
    return true;
  }

  /** Returns the announcements for the next report to other routers. */
  takeAnnouncements(): CrashAnnouncements {
    const confirmed = new Map<string, number>();
    const provisional: ProvisionalSubject[] = [];
    for (const [fingerprint, sinceMs] of this.quarantine.quarantinedSince) {
      const trials = this.quarantine.publicTrialsOf(fingerprint);
      if (this.isConfirmed(fingerprint)) confirmed.set(fingerprint, sinceMs);
      else provisional.push({ fingerprint, sinceMs, trials });
    }
    return this.announcements.take(confirmed, this.parts.clock.now(), provisional);
  }

  /**
   * Applies announcements of another router.
   *
   * @param isRelayed whether new announcements are relayed to other routers, as in large groups
   * @returns true if a change should be sent without waiting for the next report
   */
  receive({ crashes, quarantine, provisional }: CrashAnnouncements, isRelayed: boolean): boolean {
    const isUrgentCrash = crashes.map((crash) => this.receiveCrash(crash, isRelayed));
    const isUrgentQuarantine = quarantine.map((request) =>
      this.receiveQuarantine(request, isRelayed),
    );
    const isUrgentTrial = provisional?.map((request) => this.receiveProvisional(request)) ?? [];
    return [...isUrgentCrash, ...isUrgentQuarantine, ...isUrgentTrial].some(Boolean);
  }

  /** Drops expired records; returns the fingerprints whose quarantine has expired. */
  expire(): string[] {
    const expired = this.quarantine.expire(this.parts.clock.now());
    for (const fingerprint of expired) this.logLifted(fingerprint, 'expired');
    return expired;
  }

  private receiveCrash(announcement: EngineCrashAnnouncement, isRelayed: boolean): boolean {
    const { engineId, fingerprints, ageMs, sentAgesMs } = announcement;
    const now = this.parts.clock.now();
    const atMs = now - ageMs;
    const sentMs = fingerprints.map((_, index) => {
      const sentAgeMs = sentAgesMs?.[index] ?? ageMs + ASSUMED_RUN_MS;
      return now - sentAgeMs;
    });
    const crash = { engineId, fingerprints, atMs, sentMs };
    const newFingerprints = this.countCrash(crash, 'router');
    if (newFingerprints.length === 0) return false;
    const newSentMs = newFingerprints.flatMap((each) => sentMs[fingerprints.indexOf(each)] ?? []);
    if (isRelayed) this.announcements.relayCrash(engineId, newFingerprints, atMs, newSentMs);
    return true;
  }

  private receiveQuarantine(announcement: QuarantineAnnouncement, isRelayed: boolean): boolean {
    const { fingerprint, isCleared, ageMs, isConfirmed } = announcement;
    const atMs = this.parts.clock.now() - ageMs;
    const wasConfirmed = this.isConfirmed(fingerprint);
    const change = isCleared
      ? this.quarantine.noteCleared(fingerprint, atMs)
      : this.quarantine.noteQuarantined(fingerprint, atMs, isConfirmed ?? false);
    if (isRelayed && isClearance(change)) this.announcements.relayClearance(fingerprint, atMs);
    this.report(change, fingerprint, 'router', wasConfirmed);
    return isUrgent(change);
  }

  private receiveProvisional(announcement: ProvisionalAnnouncement): boolean {
    const { fingerprint, ageMs, trials, trialAgeMs } = announcement;
    const now = this.parts.clock.now();
    const change = this.quarantine.noteQuarantined(fingerprint, now - ageMs, false);
    this.report(change, fingerprint, 'router');
    const isNewTrial =
      trials > 0 && this.quarantine.noteTrials(fingerprint, trials, now - trialAgeMs);
    if (isNewTrial) this.judge(fingerprint, 'router');
    return isUrgent(change) || isNewTrial;
  }

  /** Counts a crash; returns the fingerprints for which it is new. */
  private countCrash(
    { engineId, fingerprints, atMs, sentMs }: SuspectedCrash & { readonly atMs: number },
    source: QuarantineSource,
  ): string[] {
    const newFingerprints = fingerprints.filter((fingerprint, index) =>
      this.quarantine.recordCrash(fingerprint, engineId, atMs, sentMs?.[index]),
    );
    for (const fingerprint of newFingerprints) this.judge(fingerprint, source);
    return newFingerprints;
  }

  /**
   * Judges the crashes of a subject, and once more if it stays in provisional quarantine: whether other
   * engines crashed together with that of a trial is known only then.
   */
  private judge(fingerprint: string, source: QuarantineSource): void {
    const { clock } = this.parts;
    const judgeNow = (): void =>
      this.report(this.quarantine.judge(fingerprint, clock.now()), fingerprint, source);
    judgeNow();
    const isProvisional =
      this.quarantine.isQuarantined(fingerprint) && !this.quarantine.isConfirmed(fingerprint);
    if (!isProvisional || !this.quarantine.trialsOf(fingerprint)) return;
    clock.setTimer(COMPANION_WINDOW_MS + JUDGE_SLACK_MS, judgeNow);
  }

  /** See {@link CrashQuarantine.crashesOfOneSubject}. */
  crashesOfOneSubject(engineIds: ReadonlySet<string>): string[][] {
    return this.quarantine.crashesOfOneSubject(engineIds);
  }

  private clear(fingerprint: string, source: QuarantineSource): void {
    const now = this.parts.clock.now();
    const wasConfirmed = this.isConfirmed(fingerprint);
    const change = this.quarantine.noteCleared(fingerprint, now);
    if (!isClearance(change)) return;
    this.announcements.addClearance(fingerprint, now);
    this.report(change, fingerprint, source, wasConfirmed);
    if (isUrgent(change)) this.parts.announce();
  }

  /** @param wasConfirmed whether the subject was in confirmed quarantine before the change */
  private report(
    change: QuarantineChange,
    fingerprint: string,
    source: QuarantineSource,
    wasConfirmed = false,
  ): void {
    const { subject, statistics, logger } = this.parts;
    if (change === QuarantineChange.Quarantined) {
      if (subject === CrashSubject.Request) statistics.quarantinedRequests += 1;
      else statistics.quarantinedPromptParts += 1;
      const engines = this.quarantine.crashedEngines(fingerprint).join(',');
      const confirmed = this.isConfirmed(fingerprint);
      logger.warn('request_quarantined', { subject, fingerprint, source, confirmed, engines });
      if (confirmed) this.listener?.onQuarantined(fingerprint, source);
    }
    if (change === QuarantineChange.Confirmed) {
      logger.warn('quarantine_confirmed', { subject, fingerprint, source });
      this.listener?.onQuarantined(fingerprint, source);
    }
    if (change === QuarantineChange.Cleared) {
      statistics.suspicionsCleared += 1;
      logger.info('suspicion_cleared', { subject, fingerprint, source });
    }
    if (change !== QuarantineChange.Lifted) return;
    this.logLifted(fingerprint, source);
    if (wasConfirmed) this.listener?.onLifted(fingerprint, source);
  }

  private reportTrial(fingerprint: string, rank: number): void {
    const { subject, statistics, logger } = this.parts;
    statistics.quarantineTrials += 1;
    const trial = this.quarantine.trialsOf(fingerprint)?.count;
    logger.info('quarantine_trial', { subject, fingerprint, trial, rank });
    this.parts.announce();
  }

  private logLifted(fingerprint: string, cause: QuarantineSource | 'expired'): void {
    this.parts.statistics.quarantineLifted += 1;
    this.parts.logger.info('request_cleared', { subject: this.parts.subject, fingerprint, cause });
  }
}

function isClearance(change: QuarantineChange): boolean {
  return change === QuarantineChange.Cleared || change === QuarantineChange.Lifted;
}

/**
 * Whether a change is announced immediately. Clearing a merely suspected request is not urgent:
 * each crash makes all requests at the engine suspects, and nearly all of them complete.
 */
function isUrgent(change: QuarantineChange): boolean {
  return (
    change === QuarantineChange.Quarantined ||
    change === QuarantineChange.Confirmed ||
    change === QuarantineChange.Lifted
  );
}
