/**
 * The waiting requests of one service: admits them, sends them when engines have capacity, and
 * rejects those that can't be served in time.
 */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import type { RandomSource } from '../../../runtime/random.js';
import { IndexedHeap } from '../../../state/routing/indexed-heap.js';
import { KindShares } from '../../../state/routing/kind-shares.js';
import { MINIMUM_DELAY_MS, RejectionReason } from '../../../state/routing/rejection.js';
import {
  type QueueBounds,
  type QueueCandidate,
  type QueueEntry,
  RequestQueue,
} from '../../../state/routing/request-queue.js';
import { ServiceRate } from '../../../state/routing/service-rate.js';
import type { TenantRanking } from '../../../state/routing/tenant-shares.js';
import {
  type WaitContext,
  expectedWaitMs,
  judgeWait,
  mayEnter,
} from '../../../state/routing/wait-verdict.js';
import { WakeBudget, isRoomScarce } from '../../../state/routing/wake-budget.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import { type QueueDecision, logDequeued, logQueueRejection, logQueued } from './queue-log.js';
import {
  type QueuePlace,
  type QueueRefusal,
  SendAttempt,
  type WaitDemand,
  type WaitingCall,
} from './waiting-call.js';

/** Dependencies of {@link ServiceQueue}. */
export interface ServiceQueueParts {
  readonly service: string;
  readonly bounds: QueueBounds;
  readonly maximumWaitMs: number;
  /** Requests that the engines of the service have room for, by the latest load reports. */
  room(objectiveMs: number): number;
  /**
   * Whether the slots of the engines are divided among the routers, so that a place that this router
   * sees free can't be filled by another.
   */
  dividesSlots(): boolean;
  /** This router's share of the group's requests, greater than 0 and at most 1. */
  shareOfTraffic(): number;
  readonly tenantRanking: TenantRanking;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Mean time between two views of the engines' load; reports arrive every 100 ms. */
const VIEW_PERIOD_MS = 100;
/** Part of the period by which views vary, so that routers do not act on a report all at once. */
const VIEW_JITTER = 0.5;
/** Views for which sends are added at once after a time without requests. */
const MAXIMUM_VIEWS = 10;
/** Shortest time between two decisions on a waiting request. */
const MINIMUM_REVIEW_MS = 25;
/** Share of the objective for which waiting costs a caller nothing; a first review is due then. */
const FREE_WAIT_SHARE = 0.125;
/**
 * Waiting requests that are tried for one free place. The first may fit nowhere, for example because
 * its prompt is too long for the free memory.
 */
const MAXIMUM_TRIES = 4;

/** A waiting request with the state of the queue at its entry. */
class Ticket implements QueuePlace {
  reviewMs = 0;
  isSending = false;
  /** Whether the request ended during an attempt to send it. */
  hasEnded = false;

  constructor(
    readonly call: WaitingCall,
    readonly demand: WaitDemand,
    public entry: QueueEntry,
    readonly enteredMs: number,
    private readonly onLeave: (ticket: Ticket) => void,
  ) {}

  leave(): void {
    this.onLeave(this);
  }
}

/** The queue of one service. */
export class ServiceQueue {
  private readonly queue: RequestQueue;
  private readonly kinds = new KindShares();
  private readonly arrivals = new ServiceRate();
  /** Requests that were served. */
  private readonly rate = new ServiceRate();
  /** Sends that have ended, also those whose callers left. */
  private readonly ends = new ServiceRate();
  private readonly budget: WakeBudget;
  private readonly tickets = new Map<number, Ticket>();
  private readonly reviews = new IndexedHeap<Ticket>(
    (left, right) => left.reviewMs - right.reviewMs,
  );
  private viewTimer: Timer | undefined;
  private wakeTimer: Timer | undefined;
  private room = 0;
  private nextViewMs = -Infinity;
  private objectiveMs = Infinity;
  /** Since when the queue has not been empty. */
  private waitingSinceMs = 0;
  private isStopped = false;

  constructor(private readonly parts: ServiceQueueParts) {
    this.queue = new RequestQueue(parts.bounds);
    this.budget = new WakeBudget(parts.random.next());
  }

  get size(): number {
    return this.queue.size;
  }

  get bytes(): number {
    return this.queue.bytes;
  }

  /** Records that a request arrived at this router. */
  noteArrival(priority: number, objectiveMs: number): void {
    this.objectiveMs = objectiveMs;
    this.kinds.noteOffered(priority, this.now);
    this.arrivals.noteCompleted(this.now);
  }

  /**
   * Whether a request may be sent at once to an engine that has room for it; counts it as sent then.
   * It waits if others go before it. Where the room is scarce, other routers may have filled it since
   * the last load report, so sends are limited.
   */
  trySendAtOnce(priority: number, demand: () => WaitDemand): boolean {
    const hasOthersAhead =
      this.queue.size > 0 && this.queue.countBeforeNew(this.candidateOf(demand())) > 0;
    if (hasOthersAhead || !this.hasBudget()) return false;
    this.kinds.noteServed(priority);
    this.budget.spend();
    return true;
  }

  /** Lets a request wait if it is expected to be served in time. */
  enter(call: WaitingCall, demand: WaitDemand): Ticket | QueueRefusal {
    const { statistics, logger } = this.parts;
    if (this.isStopped) return { reason: RejectionReason.Stopping, details: {} };
    if (this.queue.size === 0) this.waitingSinceMs = this.now;
    this.view();
    const candidate = this.candidateOf(demand);
    const context = this.contextOf(demand, this.queue.countBeforeNew(candidate));
    if (!mayEnter(context)) {
      statistics.queueTooLongRejections += 1;
      return this.refuse(demand, context, RejectionReason.QueueTooLong);
    }
    const result = this.queue.enter(candidate);
    if (result.kind === 'full') {
      statistics.queueFullRejections += 1;
      return this.refuse(demand, context, RejectionReason.QueueFull);
    }
    const onLeave = (each: Ticket): void => this.abandon(each);
    const { entry } = result;
    const ticket = new Ticket(call, demand, entry, this.now, onLeave);
    this.tickets.set(entry.sequence, ticket);
    this.scheduleReview(ticket, this.now + demand.objectiveMs * FREE_WAIT_SHARE);
    statistics.queuedRequests += 1;
    logQueued(this.describe(demand, context, 0), demand.cause, logger);
    for (const evicted of result.evicted) this.evict(evicted);
    this.startViews();
    this.wakeSoon();
    return ticket;
  }

  /** Records that a request was served. */
  noteCompleted(): void {
    this.rate.noteCompleted(this.now);
  }

  /** Records that a send of this router has ended, so that its place at the engine is free. */
  noteSendEnded(): void {
    this.ends.noteCompleted(this.now);
    this.budget.noteEnd(this.parts.shareOfTraffic());
    if (this.queue.size > 0) this.wakeSoon();
  }

  /** Sends no more requests; those that wait are ended by the router. */
  stop(): void {
    this.isStopped = true;
    this.viewTimer?.cancel();
    this.wakeTimer?.cancel();
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private hasBudget(): boolean {
    this.view();
    if (this.maySendNext) return true;
    const { now } = this;
    const share = this.parts.shareOfTraffic();
    const endsPerSecond = this.ends.perSecond(now);
    return !isRoomScarce(this.room, share, this.arrivals.perSecond(now), endsPerSecond);
  }

  /** Whether the load reports allow another send. */
  private get maySendNext(): boolean {
    return !this.budget.isEmpty || this.parts.dividesSlots();
  }

  private useOfShare({ tenant }: WaitDemand): number {
    return this.parts.tenantRanking.useOfShare(this.parts.service, tenant, this.now);
  }

  private candidateOf(demand: WaitDemand): QueueCandidate {
    const latestSendMs = latestSendMsOf(demand);
    return { ...demand, latestSendMs, useOfShare: this.useOfShare(demand) };
  }

  private contextOf(demand: WaitDemand, ahead: number): WaitContext {
    const { now } = this;
    return {
      ahead,
      ownRoom: this.room * this.parts.shareOfTraffic(),
      servedPerSecond: this.rate.perSecond(now, this.waitingSinceMs),
      arrivalsPerSecond: this.arrivals.perSecond(now),
      engineWaitMs: demand.engineWaitMs,
      slackMs: latestSendMsOf(demand) - now,
      firstTokenMs: demand.firstTokenMs,
      remainingMs: demand.deadlineMs - now,
      isDisadvantaged: this.kinds.isDisadvantaged(demand.priority, now),
    };
  }

  private contextOfTicket(ticket: Ticket): WaitContext {
    const { demand, entry, enteredMs } = ticket;
    const context = this.contextOf(demand, this.queue.countBefore(entry));
    const waitedMs = this.now - enteredMs;
    return { ...context, engineWaitMs: Math.max(0, demand.engineWaitMs - waitedMs) };
  }

  private describe(demand: WaitDemand, context: WaitContext, waitedMs: number): QueueDecision {
    return {
      request: demand.requestId,
      service: this.parts.service,
      position: context.ahead,
      expectedMs: expectedWaitMs(context),
      slackMs: context.slackMs,
      rateAgeMs: this.rate.ageMs(this.now),
      waitedMs,
    };
  }

  /** Logs that a request does not enter. */
  private refuse(demand: WaitDemand, context: WaitContext, reason: RejectionReason): QueueRefusal {
    logQueueRejection(this.describe(demand, context, 0), reason, this.parts.logger);
    return this.refusal(reason, context);
  }

  private refusal(reason: RejectionReason, context: WaitContext): QueueRefusal {
    const excessMs = Math.max(0, expectedWaitMs(context) - context.slackMs);
    const { engineWaitMs, servedPerSecond } = context;
    return { reason, details: { excessMs, engineWaitMs, servedPerSecond } };
  }

  /** Reads the engines' load periodically while requests wait. */
  private startViews(): void {
    if (this.viewTimer) return;
    this.viewTimer = this.parts.clock.setTimer(this.nextViewMs - this.now, () => {
      this.viewTimer = undefined;
      this.view();
      this.review();
      this.wake();
      if (this.queue.size > 0) this.startViews();
    });
  }

  /** Reads the engines' load, at most once in a period. */
  private view(): void {
    const { now } = this;
    if (now < this.nextViewMs) return;
    const { random } = this.parts;
    const periods = 1 + Math.min(MAXIMUM_VIEWS, (now - this.nextViewMs) / VIEW_PERIOD_MS);
    this.nextViewMs = now + VIEW_PERIOD_MS * (1 + VIEW_JITTER * (random.next() - 0.5));
    this.room = this.parts.room(this.objectiveMs);
    this.budget.renew(this.room, this.parts.shareOfTraffic(), periods);
  }

  /** Sends what the budget allows after the current event has been handled. */
  private wakeSoon(): void {
    this.wakeTimer ??= this.parts.clock.setTimer(0, () => this.wake());
  }

  private wake(): void {
    this.wakeTimer?.cancel();
    this.wakeTimer = undefined;
    while (!this.isStopped && this.queue.size > 0 && this.maySendNext) {
      if (!this.queue.sendNext((entry) => this.trySend(entry), MAXIMUM_TRIES)) return;
    }
  }

  private trySend(entry: QueueEntry): boolean {
    const ticket = this.tickets.get(entry.sequence);
    if (!ticket) return true;
    const { demand, enteredMs } = ticket;
    const decision = this.describe(demand, this.contextOfTicket(ticket), this.now - enteredMs);
    ticket.isSending = true;
    const attempt = ticket.call.trySend();
    ticket.isSending = false;
    if (ticket.hasEnded) {
      this.abandon(ticket);
      return true;
    }
    if (attempt === SendAttempt.NoCapacity) return false;
    this.forget(ticket);
    this.budget.spend();
    const { statistics, logger } = this.parts;
    statistics.dequeuedRequests += 1;
    this.kinds.noteServed(demand.priority);
    statistics.queueWaitMs += decision.waitedMs;
    if (entry.isLate) statistics.dequeuedLate += 1;
    logDequeued(decision, entry.isLate, logger);
    return true;
  }

  /** Decides again on the requests for which that is due. */
  private review(): void {
    for (;;) {
      const ticket = this.reviews.first;
      if (!ticket || ticket.reviewMs > this.now || this.isStopped) return;
      this.reviewTicket(ticket);
    }
  }

  private reviewTicket(ticket: Ticket): void {
    const { demand, enteredMs } = ticket;
    const context = this.contextOfTicket(ticket);
    const isTooLong = this.now - enteredMs >= this.parts.maximumWaitMs;
    const verdict = isTooLong ? 'reject' : judgeWait(context, MINIMUM_DELAY_MS);
    if (verdict === 'reject') {
      this.parts.statistics.queueLateRejections += 1;
      this.reject(ticket, RejectionReason.QueueTooLong);
      return;
    }
    const change = { isLate: verdict === 'late', useOfShare: this.useOfShare(demand) };
    ticket.entry = this.queue.reorder(ticket.entry, change);
    const spareMs = Math.max(0, context.slackMs - expectedWaitMs(context));
    this.scheduleReview(ticket, this.now + Math.max(MINIMUM_REVIEW_MS, spareMs / 2));
  }

  private scheduleReview(ticket: Ticket, atMs: number): void {
    this.reviews.remove(ticket);
    ticket.reviewMs = Math.min(atMs, ticket.enteredMs + this.parts.maximumWaitMs);
    this.reviews.add(ticket);
  }

  private evict(entry: QueueEntry): void {
    const ticket = this.tickets.get(entry.sequence);
    if (!ticket) return;
    this.parts.statistics.queueEvictions += 1;
    this.reject(ticket, RejectionReason.QueueFull);
  }

  /** Takes a request out of the queue and ends it. */
  private reject(ticket: Ticket, reason: RejectionReason): void {
    const context = this.contextOfTicket(ticket);
    const waitedMs = this.now - ticket.enteredMs;
    logQueueRejection(this.describe(ticket.demand, context, waitedMs), reason, this.parts.logger);
    this.forget(ticket);
    this.queue.leave(ticket.entry, false);
    const { details } = this.refusal(reason, context);
    ticket.call.rejectFromQueue(reason, details);
  }

  /** Handles a request that ended while it waited, or that is ended by an attempt to send it. */
  private abandon(ticket: Ticket): void {
    ticket.hasEnded = true;
    if (ticket.isSending || !this.tickets.has(ticket.entry.sequence)) return;
    this.parts.statistics.queueAbandoned += 1;
    this.forget(ticket);
    this.queue.leave(ticket.entry, false);
  }

  private forget(ticket: Ticket): void {
    this.tickets.delete(ticket.entry.sequence);
    this.reviews.remove(ticket);
  }
}

function latestSendMsOf({ arrivedMs, objectiveMs, firstTokenMs }: WaitDemand): number {
  return arrivedMs + objectiveMs - firstTokenMs;
}
