/**
 * The lease on giving orders to engines, as one router sees it.
 *
 * One object in the store names the holder and a fencing token. The holder writes the object anew
 * before each batch of orders and gives orders only for a short while after that call began. Whoever
 * takes over has seen the object unchanged for the lease time and that while, so the last order of
 * the old holder is a lease time old. The holder reports the position of its last write to the others:
 * whoever heard it knows the object unchanged since then, without reading it meanwhile.
 *
 * The store may come back from an older copy of itself, with an older record or none. A lease of a former era of the store
 * gives no right to act, and nobody takes a lease in a new era before every holder of a former one has ceased to act.
 * Tokens of an era lie above those of all former eras, whatever the record holds.
 *
 * Two clocks: how long a router itself may act counts suspensions of its machine, so that it gives no order
 * when it wakes; how long it waits for another holder does not, so that it never takes over early.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import { StoreEra, StorePosition } from '../../runtime/store-position.js';
import type { StoreEras } from './store-eras.js';

/** What the object holds. */
export interface LeaseRecord {
  readonly holder: string;
  /** Tells two lives of one router apart. */
  readonly life: string;
  readonly fencingToken: number;
}

/** The object at one position of the store. */
export interface LeaseView {
  readonly record: LeaseRecord;
  readonly position: StorePosition;
}

/** What the router may do next. */
export enum LeaseStep {
  /** Nothing is known: read the object. */
  Read = 'read',
  /** There is no object: create it with the first token. */
  Create = 'create',
  /** Write the own record anew. */
  Renew = 'renew',
  /** Replace the other holder's record, with a higher token. */
  TakeOver = 'take-over',
  /** Another holder may still give orders. */
  Wait = 'wait',
  /** Orders may be given now. */
  Act = 'act',
}

/** Times in milliseconds. */
export interface LeaseSettings {
  readonly holder: string;
  readonly life: string;
  /** Holders must not take turns within this time. */
  readonly leaseMs: number;
  /** The holder may act for this long after its last write began. */
  readonly actMs: number;
}

/** The position of a write that the holder reported after it. */
interface HeardWrite {
  readonly position: StorePosition;
  readonly heardMs: number;
}

/** An order that its holder gave in time reaches its engine this much later at most. */
const ORDER_TRANSIT_MS = 500;
/** Tolerance for clocks that run at different speeds. */
const CLOCK_MARGIN_MS = 200;
/** What is known of the object is read again after this long. */
const VIEW_LIFETIME_MS = 1_000;
/** Tokens of one era; far more holders than there can be between two restorations of the store. */
const TOKENS_OF_ERA = 2 ** 20;

/** A moment on both clocks. */
export interface LeaseTime {
  /** Steady time, in milliseconds. */
  readonly nowMs: number;
  /** With suspensions counted. */
  readonly elapsed: ElapsedInstant;
}

/** State machine of the lease; every call comes with the time. */
export class WeightLease {
  private view: LeaseView | undefined;
  private isMissing = false;
  /** Era in which the object was found missing. */
  private missingEra: number = StoreEra.Unknown;
  private heard: HeardWrite | undefined;
  private highestToken = 0;
  /** When a call was answered that showed the present state for the first time. */
  private firstSeenMs = -Infinity;
  private lastReadMs = -Infinity;
  private actUntil = ElapsedInstant.never;

  constructor(
    private readonly settings: LeaseSettings,
    private readonly eras: StoreEras,
  ) {}

  /** The token of this router; undefined while it does not hold the lease. */
  get fencingToken(): number | undefined {
    return this.isOwn ? this.view?.record.fencingToken : undefined;
  }

  /** The position of the own last write; undefined while another holds the lease, as far as is known. */
  get heldPosition(): StorePosition | undefined {
    const isHeld = this.isOwn && !this.isOutOfDate && !this.isOfFormerEra;
    return isHeld ? this.position : undefined;
  }

  /** Of the object as it was seen last. */
  get position(): StorePosition {
    return this.view?.position ?? StorePosition.start;
  }

  next(time: LeaseTime): LeaseStep {
    const { nowMs, elapsed } = time;
    if (this.isMissing && this.missingEra === this.eras.newest) {
      return this.isFormerHolderPossible(nowMs) ? this.wait(nowMs) : LeaseStep.Create;
    }
    if (!this.view || this.isOutOfDate) return LeaseStep.Read;
    if (this.isOfFormerEra) {
      return this.isFormerHolderPossible(nowMs) ? this.wait(nowMs) : this.succeed(nowMs);
    }
    if (this.isOwn) return elapsed.isBefore(this.actUntil) ? LeaseStep.Act : LeaseStep.Renew;
    // An earlier life of this router gives no orders any more: no wait is due.
    if (this.view.record.holder === this.settings.holder) return LeaseStep.TakeOver;
    return this.succeed(nowMs);
  }

  /** The record to write for a step that writes. */
  recordFor(step: LeaseStep.Create | LeaseStep.Renew | LeaseStep.TakeOver): LeaseRecord {
    const { holder, life } = this.settings;
    const present = this.view?.record.fencingToken ?? 0;
    if (step === LeaseStep.Renew) return { holder, life, fencingToken: present };
    const fencingToken = Math.max(present, this.highestToken, this.tokensBeforeEra) + 1;
    return { holder, life, fencingToken };
  }

  /** The holder reported the position of its last write; one of an unknown era can't be compared. */
  hear(position: StorePosition, heardMs: number): void {
    if (position.era === StoreEra.Unknown) return;
    this.eras.note(position.era, heardMs);
    const known = this.heard?.position ?? StorePosition.start;
    if (known.isBefore(position)) this.heard = { position, heardMs };
  }

  /**
   * A read or a conflict showed the object; `undefined`: there is none.
   *
   * @param era of the answer
   */
  observe(view: LeaseView | undefined, era: number, answeredMs: number): void {
    if (era < this.eras.newest) {
      // The answer was made before the store was restored.
      this.noteUnanswered();
      return;
    }
    this.eras.note(era, answeredMs);
    this.lastReadMs = answeredMs;
    this.isMissing = view === undefined;
    this.missingEra = era;
    if (!view || !this.view?.position.isSame(view.position)) {
      this.firstSeenMs = this.firstSeenOf(view, answeredMs);
      this.actUntil = ElapsedInstant.never;
    }
    this.take(view);
  }

  /** The own write was acknowledged. */
  noteWritten(view: LeaseView, callBegan: LeaseTime): void {
    this.isMissing = false;
    this.take(view);
    this.firstSeenMs = callBegan.nowMs;
    this.lastReadMs = callBegan.nowMs;
    this.actUntil = callBegan.elapsed.plus(this.settings.actMs);
  }

  /** A write was not answered: it may be in the store, or come there later. */
  noteUnanswered(): void {
    this.view = undefined;
    this.isMissing = false;
    this.actUntil = ElapsedInstant.never;
  }

  private take(view: LeaseView | undefined): void {
    this.view = view;
    this.highestToken = Math.max(this.highestToken, view?.record.fencingToken ?? 0);
  }

  private firstSeenOf(view: LeaseView | undefined, answeredMs: number): number {
    const { heard } = this;
    if (heard && view?.position.isSame(heard.position)) return heard.heardMs;
    // The holder may have written until just before the answer was made.
    return answeredMs;
  }

  /** Takes the lease over once its holder has been silent for long enough. */
  private succeed(nowMs: number): LeaseStep {
    return nowMs - this.firstSeenMs >= this.waitMs ? LeaseStep.TakeOver : this.wait(nowMs);
  }

  /** Waits, and reads what is known anew when it has grown old. */
  private wait(nowMs: number): LeaseStep {
    return nowMs - this.lastReadMs >= VIEW_LIFETIME_MS ? LeaseStep.Read : LeaseStep.Wait;
  }

  /** From a holder's last write until no order of it can reach an engine, and the lease time. */
  private get waitMs(): number {
    const { leaseMs, actMs } = this.settings;
    return leaseMs + actMs + ORDER_TRANSIT_MS + CLOCK_MARGIN_MS;
  }

  /**
   * Whether a router that held the lease in a former era may still act, or have acted within the lease time: its last
   * write can have been made until this era began.
   */
  private isFormerHolderPossible(nowMs: number): boolean {
    return nowMs - this.eras.changedMs < this.waitMs;
  }

  /** Tokens up to this one were or could have been given out in former eras. */
  private get tokensBeforeEra(): number {
    return Math.max(StoreEra.None, this.eras.newest) * TOKENS_OF_ERA;
  }

  /** Whether the record was written in a former era: the copy that the store came back from held it. */
  private get isOfFormerEra(): boolean {
    const record = this.view?.record;
    const hasEras = this.eras.newest > StoreEra.None;
    return hasEras && record !== undefined && record.fencingToken <= this.tokensBeforeEra;
  }

  /** Whether the object is known to have changed since it was seen last, or the store to have been restored. */
  private get isOutOfDate(): boolean {
    const isHeardLater = this.heard !== undefined && this.position.isBefore(this.heard.position);
    return isHeardLater || this.position.era < this.eras.newest;
  }

  private get isOwn(): boolean {
    const record = this.view?.record;
    return record?.holder === this.settings.holder && record.life === this.settings.life;
  }
}
