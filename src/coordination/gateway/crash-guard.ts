/**
 * Keeps requests that crash engines away from them: counts the crashes under each request, with what the
 * other routers saw; answers whether a request is in quarantine; takes a good end as proof of innocence.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import {
  type CrashAnnouncements,
  CrashAnnouncementQueue,
  type EngineCrashAnnouncement,
  type QuarantineAnnouncement,
} from '../../state/routing/crash-announcement-queue.js';
import {
  QuarantineChange,
  type QuarantinePolicy,
  RequestQuarantine,
} from '../../state/routing/request-quarantine.js';
import type { EngineCrash } from './engine-crash-detector.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** What a guard works with. */
export interface CrashGuardParts {
  readonly policy: QuarantinePolicy | undefined;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sends the other routers at once what is new. */
  announce(): void;
}

/** How a router came to know of a change. */
export type QuarantineSource = 'own' | 'router' | 'store';

/** Receives what the guard finds out. */
export interface QuarantineListener {
  /** No engine may be sent the request any more. */
  onQuarantined(fingerprint: string, source: QuarantineSource): void;
  /** A request that was in quarantine is not any more. */
  onLifted(fingerprint: string, source: QuarantineSource): void;
}

/** After so many crashes this router does not by itself send a request on when it breaks once more. */
const CRASHES_WITHOUT_REPEAT = 2;

/** The guard of one router. */
export class CrashGuard {
  private readonly quarantine: RequestQuarantine;
  private readonly board = new CrashAnnouncementQueue();
  private listener: QuarantineListener | undefined;

  constructor(private readonly parts: CrashGuardParts) {
    this.quarantine = new RequestQuarantine(parts.policy);
  }

  /** Must be called before the first request. */
  connect(listener: QuarantineListener): void {
    this.listener = listener;
  }

  /** Whether any request is suspected, so that fingerprints are of use. */
  get isWatching(): boolean {
    return !this.quarantine.isEmpty;
  }

  /** Whether there is anything new to announce to the other routers. */
  get hasNews(): boolean {
    return this.board.hasNews;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.quarantine.isQuarantined(fingerprint);
  }

  /** Whether a router should leave it to the caller to send this request again. */
  isDoubtful(fingerprint: string): boolean {
    return this.quarantine.crashedEngines(fingerprint).length >= CRASHES_WITHOUT_REPEAT;
  }

  /** Requests in quarantine and since when. */
  get quarantinedSince(): ReadonlyMap<string, number> {
    return this.quarantine.quarantinedSince;
  }

  /** Engines that crashed under the request, as far as this router heard. */
  crashedEngines(fingerprint: string): string[] {
    return this.quarantine.crashedEngines(fingerprint);
  }

  /** This router found an engine crashed. */
  noteCrash({ engineId, fingerprints }: EngineCrash): void {
    const now = this.parts.clock.now();
    this.board.addCrash(engineId, fingerprints, now);
    this.countCrash({ engineId, fingerprints, ageMs: 0 }, 'own');
    this.parts.announce();
  }

  /** An engine ran the request to a good end. */
  noteGoodEnd(fingerprint: string): void {
    this.clear(fingerprint, 'own');
  }

  /** An operator has removed the request's entry from the store. */
  noteRemoved(fingerprint: string): void {
    this.clear(fingerprint, 'store');
  }

  /**
   * The store holds the request in quarantine since `ageMs` ago. False where the request has come to a good
   * end since, so that its object should go.
   */
  noteStored(fingerprint: string, ageMs: number): boolean {
    const sinceMs = this.parts.clock.now() - ageMs;
    if (this.quarantine.isQuarantined(fingerprint)) return true;
    if (this.quarantine.isClearedSince(fingerprint, sinceMs)) return false;
    this.report(this.quarantine.noteQuarantined(fingerprint, sinceMs), fingerprint, 'store');
    return true;
  }

  /** What the next report to other routers carries. */
  takeNews(): CrashAnnouncements {
    return this.board.take(this.quarantine.quarantinedSince, this.parts.clock.now());
  }

  /**
   * Takes another router's report.
   *
   * @param isPassedOn whether the group is so large that what is new here is new to others too
   * @returns true where something new should not wait for the next report
   */
  receive({ crashes, quarantine }: CrashAnnouncements, isPassedOn: boolean): boolean {
    const isUrgentCrash = crashes.map((notice) => this.receiveCrash(notice, isPassedOn));
    const isUrgentVerdict = quarantine.map((notice) => this.receiveVerdict(notice, isPassedOn));
    return [...isUrgentCrash, ...isUrgentVerdict].some(Boolean);
  }

  /** Forgets what is too old; answers the fingerprints whose quarantine has run out. */
  expire(): string[] {
    const expired = this.quarantine.expire(this.parts.clock.now());
    for (const fingerprint of expired) this.logLifted(fingerprint, 'expired');
    return expired;
  }

  private receiveCrash(notice: EngineCrashAnnouncement, isPassedOn: boolean): boolean {
    const news = this.countCrash(notice, 'router');
    if (news.length === 0) return false;
    const atMs = this.parts.clock.now() - notice.ageMs;
    if (isPassedOn) this.board.passOnCrash(notice.engineId, news, atMs);
    return true;
  }

  private receiveVerdict(notice: QuarantineAnnouncement, isPassedOn: boolean): boolean {
    const { fingerprint, isCleared, ageMs } = notice;
    const atMs = this.parts.clock.now() - ageMs;
    const change = isCleared
      ? this.quarantine.noteCleared(fingerprint, atMs)
      : this.quarantine.noteQuarantined(fingerprint, atMs);
    if (isPassedOn && isClearance(change)) this.board.passOnClearance(fingerprint, atMs);
    this.report(change, fingerprint, 'router');
    return isUrgent(change);
  }

  /** Answers the requests of which this crash was not known. */
  private countCrash(
    { engineId, fingerprints, ageMs }: EngineCrashAnnouncement,
    source: QuarantineSource,
  ): string[] {
    const atMs = this.parts.clock.now() - ageMs;
    return fingerprints.filter((fingerprint) => {
      const change = this.quarantine.noteCrash(fingerprint, engineId, atMs);
      this.report(change, fingerprint, source);
      return change !== QuarantineChange.None;
    });
  }

  private clear(fingerprint: string, source: QuarantineSource): void {
    const now = this.parts.clock.now();
    const change = this.quarantine.noteCleared(fingerprint, now);
    if (!isClearance(change)) return;
    this.board.addClearance(fingerprint, now);
    this.report(change, fingerprint, source);
    if (isUrgent(change)) this.parts.announce();
  }

  private report(change: QuarantineChange, fingerprint: string, source: QuarantineSource): void {
    const { statistics, logger } = this.parts;
    if (change === QuarantineChange.Quarantined) {
      statistics.quarantinedRequests += 1;
      const engines = this.quarantine.crashedEngines(fingerprint).join(',');
      logger.warn('request_quarantined', { fingerprint, source, engines });
      this.listener?.onQuarantined(fingerprint, source);
    }
    if (change === QuarantineChange.Cleared) {
      statistics.suspicionsCleared += 1;
      logger.info('suspicion_cleared', { fingerprint, source });
    }
    if (change !== QuarantineChange.Lifted) return;
    this.logLifted(fingerprint, source);
    this.listener?.onLifted(fingerprint, source);
  }

  private logLifted(fingerprint: string, cause: QuarantineSource | 'expired'): void {
    this.parts.statistics.quarantineLifted += 1;
    this.parts.logger.info('request_cleared', { fingerprint, cause });
  }
}

function isClearance(change: QuarantineChange): boolean {
  return change === QuarantineChange.Cleared || change === QuarantineChange.Lifted;
}

/**
 * Whether the other routers should know at once. A request that was merely suspected costs nothing while it
 * is; on a day of crashes each engine leaves dozens of suspects, nearly all of which end well.
 */
function isUrgent(change: QuarantineChange): boolean {
  return change === QuarantineChange.Quarantined || change === QuarantineChange.Lifted;
}
