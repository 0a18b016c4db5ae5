/**
 * The lease for sending load commands to engines. Its holder is the coordinator.
 *
 * One object in the store names the holder and a fencing token. The holder rewrites the object
 * before each batch of load commands and sends commands only for a short time (`actMs`) after that
 * call began. A router takes over after it has seen the object unchanged for the lease time plus
 * that time, so the last command of the previous holder is at least one lease time old. The holder
 * reports the position of its last write to the other routers, which then count from that report
 * without having to read the object meanwhile.
 *
 * The store may be restored from an older copy, with an older record or none. A lease of a previous
 * store era gives no right to act, and no router takes a lease in a new era until every holder of
 * a previous era has stopped acting. The tokens of an era are above those of all previous
 * eras, whatever the record holds.
 *
 * Two clocks are used. The time for which a router itself may act includes suspensions of its
 * machine, so that it sends no command right after it resumes. The time for which it waits for
 * another holder excludes them, so that it never takes over early.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import { StoreEra, StorePosition } from '../../runtime/store-position.js';
import type { StoreEras } from './store-eras.js';

/** Contents of the lease object. */
export interface LeaseRecord {
  readonly holder: string;
  /** Distinguishes two incarnations of the same router. */
  readonly life: string;
  readonly fencingToken: number;
}

/** The lease object at one position of the store. */
export interface LeaseView {
  readonly record: LeaseRecord;
  readonly position: StorePosition;
}

/** The next step of a router. */
export enum LeaseStep {
  /** The state is unknown: read the object. */
  Read = 'read',
  /** The object does not exist: create it with the first token. */
  Create = 'create',
  /** Renew the lease by rewriting the record. */
  Renew = 'renew',
  /** Replace the other holder's record, with a higher token. */
  TakeOver = 'take-over',
  /** Another holder may still send load commands. */
  Wait = 'wait',
  /** Load commands may be sent now. */
  Act = 'act',
}

/** Times in milliseconds. */
export interface LeaseSettings {
  readonly holder: string;
  readonly life: string;
  /** Minimum time between the last command of one holder and the first of the next. */
  readonly leaseMs: number;
  /** How long the holder may act after its last write began. */
  readonly actMs: number;
}

/** The position of a write, as reported by the holder. */
interface ReportedWrite {
  readonly position: StorePosition;
  readonly receivedMs: number;
}

/** Maximum time until a load command sent in time reaches its engine. */
const COMMAND_TRANSIT_MS = 500;
/** Tolerance for clock drift. */
const CLOCK_MARGIN_MS = 200;
/** The object is read again after this time. */
const VIEW_LIFETIME_MS = 1_000;
/** Size of the token range of one store era; above any number of lease holders in an era. */
const TOKENS_PER_ERA = 2 ** 20;

/** A point in time on both clocks. */
export interface LeaseTime {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Time that includes suspensions of the machine. */
  readonly elapsed: ElapsedInstant;
}

/** State machine of the lease. Callers pass the time to each call. */
export class WeightLease {
  private view: LeaseView | undefined;
  private isMissing = false;
  /** Era in which the object was found missing. */
  private missingEra: number = StoreEra.Unknown;
  private reported: ReportedWrite | undefined;
  private highestToken = 0;
  /** Time from which the wait before a takeover counts. */
  private waitStartMs = -Infinity;
  private lastReadMs = -Infinity;
  private actUntil = ElapsedInstant.never;

  constructor(
    private readonly settings: LeaseSettings,
    private readonly eras: StoreEras,
  ) {}

  /** The fencing token of this router; undefined while it does not hold the lease. */
  get fencingToken(): number | undefined {
    return this.isOwn ? this.view?.record.fencingToken : undefined;
  }

  /** The position of the own last write; undefined unless this router is the last known holder. */
  get heldPosition(): StorePosition | undefined {
    const isHeld = this.isOwn && !this.isOutOfDate && !this.isOfPreviousEra;
    return isHeld ? this.position : undefined;
  }

  /** Position of the last known state of the object. */
  get position(): StorePosition {
    return this.view?.position ?? StorePosition.start;
  }

  next(time: LeaseTime): LeaseStep {
    const { nowMs, elapsed } = time;
    if (this.isMissing && this.missingEra === this.eras.newest) {
      return this.isPreviousHolderPossible(nowMs) ? this.wait(nowMs) : LeaseStep.Create;
    }
    if (!this.view || this.isOutOfDate) return LeaseStep.Read;
    if (this.isOfPreviousEra) {
      return this.isPreviousHolderPossible(nowMs) ? this.wait(nowMs) : this.takeOverOrWait(nowMs);
    }
    if (this.isOwn) return elapsed.isBefore(this.actUntil) ? LeaseStep.Act : LeaseStep.Renew;
    // A previous incarnation of this router sends no commands any more, so no wait is needed.
    if (this.view.record.holder === this.settings.holder) return LeaseStep.TakeOver;
    return this.takeOverOrWait(nowMs);
  }

  /** The record to write for a step. */
  recordFor(step: LeaseStep.Create | LeaseStep.Renew | LeaseStep.TakeOver): LeaseRecord {
    const { holder, life } = this.settings;
    const present = this.view?.record.fencingToken ?? 0;
    if (step === LeaseStep.Renew) return { holder, life, fencingToken: present };
    const fencingToken = Math.max(present, this.highestToken, this.tokensBeforeEra) + 1;
    return { holder, life, fencingToken };
  }

  /**
   * Records the position that the holder reported for its last write. Positions of an unknown era
   * can't be compared and are ignored.
   */
  recordReportedWrite(position: StorePosition, receivedMs: number): void {
    if (position.era === StoreEra.Unknown) return;
    this.eras.observe(position.era, receivedMs);
    const known = this.reported?.position ?? StorePosition.start;
    if (known.isBefore(position)) this.reported = { position, receivedMs };
  }

  /**
   * Applies the state of the object that a read or a write conflict returned.
   *
   * @param view undefined if the object does not exist
   * @param era store era of the response
   */
  observe(view: LeaseView | undefined, era: number, respondedMs: number): void {
    if (era < this.eras.newest) {
      // The response predates the restoration of the store.
      this.invalidate();
      return;
    }
    this.eras.observe(era, respondedMs);
    this.lastReadMs = respondedMs;
    this.isMissing = view === undefined;
    this.missingEra = era;
    if (!view || !this.view?.position.equals(view.position)) {
      this.waitStartMs = this.waitStartOf(view, respondedMs);
      this.actUntil = ElapsedInstant.never;
    }
    this.setView(view);
  }

  /** Applies an acknowledged write of this router. */
  recordWrite(view: LeaseView, callStart: LeaseTime): void {
    this.isMissing = false;
    this.setView(view);
    this.waitStartMs = callStart.nowMs;
    this.lastReadMs = callStart.nowMs;
    this.actUntil = callStart.elapsed.plus(this.settings.actMs);
  }

  /** Discards the known state after a write without a response: it may take effect now or later. */
  invalidate(): void {
    this.view = undefined;
    this.isMissing = false;
    this.actUntil = ElapsedInstant.never;
  }

  private setView(view: LeaseView | undefined): void {
    this.view = view;
    this.highestToken = Math.max(this.highestToken, view?.record.fencingToken ?? 0);
  }

  private waitStartOf(view: LeaseView | undefined, respondedMs: number): number {
    const { reported } = this;
    if (reported && view?.position.equals(reported.position)) return reported.receivedMs;
    // The holder may have written until just before the store responded.
    return respondedMs;
  }

  /** Takes over the lease once it has been unchanged for the required time. */
  private takeOverOrWait(nowMs: number): LeaseStep {
    return nowMs - this.waitStartMs >= this.waitMs ? LeaseStep.TakeOver : this.wait(nowMs);
  }

  /** Waits; reads the object again once the known state is older than its lifetime. */
  private wait(nowMs: number): LeaseStep {
    return nowMs - this.lastReadMs >= VIEW_LIFETIME_MS ? LeaseStep.Read : LeaseStep.Wait;
  }

  /** Time from a holder's last write until its last command has arrived, plus the lease time. */
  private get waitMs(): number {
    const { leaseMs, actMs } = this.settings;
    return leaseMs + actMs + COMMAND_TRANSIT_MS + CLOCK_MARGIN_MS;
  }

  /**
   * Whether a holder of a previous era may still act, or may have acted within the lease time. Its
   * last write can be as recent as the start of this era.
   */
  private isPreviousHolderPossible(nowMs: number): boolean {
    return nowMs - this.eras.changedMs < this.waitMs;
  }

  /** Upper bound of the tokens of previous eras. */
  private get tokensBeforeEra(): number {
    return Math.max(StoreEra.None, this.eras.newest) * TOKENS_PER_ERA;
  }

  /** Whether the record was written in a previous era and comes from the copy that was restored. */
  private get isOfPreviousEra(): boolean {
    const record = this.view?.record;
    const hasEras = this.eras.newest > StoreEra.None;
    return hasEras && record !== undefined && record.fencingToken <= this.tokensBeforeEra;
  }

  /** Whether the object has changed since it was last seen, or the store was restored. */
  private get isOutOfDate(): boolean {
    const isReportedNewer =
      this.reported !== undefined && this.position.isBefore(this.reported.position);
    return isReportedNewer || this.position.era < this.eras.newest;
  }

  private get isOwn(): boolean {
    const record = this.view?.record;
    return record?.holder === this.settings.holder && record.life === this.settings.life;
  }
}
