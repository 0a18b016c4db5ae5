/**
 * The lease on giving orders to engines, as one router sees it.
 *
 * One object in the store names the holder and a fencing token. The holder writes the object anew
 * before each batch of orders and gives orders only for a short while after that call began. Whoever
 * takes over has seen the object unchanged for the lease time and that while, so the last order of
 * the old holder is a lease time old. The holder tells the revision of its last write to the others:
 * whoever heard it knows the object unchanged since then, without reading it meanwhile.
 *
 * Two clocks: how long a router itself may act counts suspensions of its machine, so that it gives no order
 * when it wakes; how long it waits for another holder does not, so that it never takes over early.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';

/** What the object holds. */
export interface LeaseRecord {
  readonly holder: string;
  /** Tells two lives of one router apart. */
  readonly life: string;
  readonly fencingToken: number;
}

/** The object at one revision. */
export interface LeaseView {
  readonly record: LeaseRecord;
  readonly revision: number;
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

/** A revision that the holder told after it had been written. */
interface HeardRevision {
  readonly revision: number;
  readonly heardMs: number;
}

/** An order that its holder gave in time reaches its engine this much later at most. */
const ORDER_TRANSIT_MS = 500;
/** Tolerance for clocks that run at different speeds. */
const CLOCK_MARGIN_MS = 200;
/** What is known of the object is read again after this long. */
const VIEW_LIFETIME_MS = 1_000;
const FIRST_TOKEN = 1;

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
  private heard: HeardRevision | undefined;
  /** When a call was answered that showed the present revision for the first time. */
  private firstSeenMs = -Infinity;
  private lastReadMs = -Infinity;
  private actUntil = ElapsedInstant.never;

  constructor(private readonly settings: LeaseSettings) {}

  /** The token of this router; undefined while it does not hold the lease. */
  get fencingToken(): number | undefined {
    return this.isOwn ? this.view?.record.fencingToken : undefined;
  }

  /** The revision of the own last write; undefined while another holds the lease, as far as is known. */
  get heldRevision(): number | undefined {
    return this.isOwn && !this.isOutOfDate ? this.revision : undefined;
  }

  get revision(): number {
    return this.view?.revision ?? 0;
  }

  next({ nowMs, elapsed }: LeaseTime): LeaseStep {
    if (this.isMissing) return LeaseStep.Create;
    if (!this.view || this.isOutOfDate) return LeaseStep.Read;
    if (this.isOwn) return elapsed.isBefore(this.actUntil) ? LeaseStep.Act : LeaseStep.Renew;
    // An earlier life of this router gives no orders any more: no wait is due.
    if (this.view.record.holder === this.settings.holder) return LeaseStep.TakeOver;
    const { leaseMs, actMs } = this.settings;
    const waitMs = leaseMs + actMs + ORDER_TRANSIT_MS + CLOCK_MARGIN_MS;
    if (nowMs - this.firstSeenMs >= waitMs) return LeaseStep.TakeOver;
    return nowMs - this.lastReadMs >= VIEW_LIFETIME_MS ? LeaseStep.Read : LeaseStep.Wait;
  }

  /** The record to write for a step that writes. */
  recordFor(step: LeaseStep.Create | LeaseStep.Renew | LeaseStep.TakeOver): LeaseRecord {
    const present = this.view?.record.fencingToken ?? FIRST_TOKEN - 1;
    const { holder, life } = this.settings;
    const fencingToken = step === LeaseStep.Renew ? present : present + 1;
    return { holder, life, fencingToken };
  }

  /** The holder told the revision of its last write. */
  hear(revision: number, heardMs: number): void {
    if (revision > (this.heard?.revision ?? 0)) this.heard = { revision, heardMs };
  }

  /** A read or a conflict showed the object; `undefined`: there is none. */
  observe(view: LeaseView | undefined, answeredMs: number): void {
    this.lastReadMs = answeredMs;
    this.isMissing = view === undefined;
    if (view?.revision !== this.view?.revision) {
      this.firstSeenMs = this.firstSeenOf(view, answeredMs);
      this.actUntil = ElapsedInstant.never;
    }
    this.view = view;
  }

  /** The own write was acknowledged. */
  noteWritten(view: LeaseView, callBegan: LeaseTime): void {
    this.isMissing = false;
    this.view = view;
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

  private firstSeenOf(view: LeaseView | undefined, answeredMs: number): number {
    const { heard } = this;
    if (heard && heard.revision === view?.revision) return heard.heardMs;
    // The holder may have written until just before the answer was made.
    return answeredMs;
  }

  /** Whether another holder is known to have written since the object was seen last. */
  private get isOutOfDate(): boolean {
    return (this.heard?.revision ?? 0) > this.revision;
  }

  private get isOwn(): boolean {
    const record = this.view?.record;
    return record?.holder === this.settings.holder && record.life === this.settings.life;
  }
}
