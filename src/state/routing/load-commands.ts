/** The orders for new weights that a router has given and has not forgotten. Pure. */
import type { WeightLoadAnnouncement } from './weight-load-announcements.js';

/** One order to one engine. */
export interface LoadCommand {
  readonly model: string;
  readonly version: number;
  readonly givenMs: number;
  /** When the engine was seen to have the weights; undefined before. */
  doneMs: number | undefined;
  /** When the news of it need not be told any more. */
  forgetMs: number;
}

/** An order that shows no effect for this long may be given again. */
const ORDER_PATIENCE_MS = 4_000;
/** An engine that has not taken an order is given the next after this; the pause doubles each time. */
const FIRST_RETRY_PAUSE_MS = 400;
const LONGEST_RETRY_PAUSE_MS = 3_200;
const NEWS_LIFETIME_MS = 2_500;
/** A load that lasts is told anew after this. */
const RENEWAL_PERIOD_MS = 1_000;
/** No load is done sooner. */
const SHORTEST_LOAD_MS = 400;
/** An engine is asked first after this share of the fastest load seen. */
const FIRST_POLL_SHARE = 0.9;

/** Orders in a row that an engine has not taken. */
interface Refusals {
  count: number;
  untilMs: number;
}

/** Orders by incarnation of the engine. */
export class LoadCommands {
  private readonly orders = new Map<string, LoadCommand>();
  private readonly refusals = new Map<string, Refusals>();
  private fastestLoadMs = 0;

  open(engineId: string, model: string, version: number, nowMs: number): void {
    const forgetMs = nowMs + ORDER_PATIENCE_MS;
    const state = { doneMs: undefined, forgetMs };
    this.orders.set(engineId, { model, version, givenMs: nowMs, ...state });
  }

  /** Whether an engine loads by an order of this router; undefined where it has none. */
  isLoading(engineId: string): boolean | undefined {
    const order = this.orders.get(engineId);
    return order && order.doneMs === undefined;
  }

  /** The engine did not take the order; it is given the next after a pause. */
  giveUp(engineId: string, nowMs: number): void {
    this.orders.delete(engineId);
    const count = (this.refusals.get(engineId)?.count ?? 0) + 1;
    const pauseMs = Math.min(LONGEST_RETRY_PAUSE_MS, FIRST_RETRY_PAUSE_MS * 2 ** (count - 1));
    this.refusals.set(engineId, { count, untilMs: nowMs + pauseMs });
  }

  /** Whether an engine is left alone because it did not take the last order. */
  isPaused(engineId: string, nowMs: number): boolean {
    return nowMs < (this.refusals.get(engineId)?.untilMs ?? -Infinity);
  }

  /** The engine has the weights; answers how long that took, undefined where it was known before. */
  finish(engineId: string, nowMs: number): number | undefined {
    const order = this.orders.get(engineId);
    this.refusals.delete(engineId);
    if (!order || order.doneMs !== undefined) return undefined;
    order.doneMs = nowMs;
    order.forgetMs = nowMs + NEWS_LIFETIME_MS;
    const tookMs = nowMs - order.givenMs;
    const isFastest = this.fastestLoadMs === 0 || tookMs < this.fastestLoadMs;
    if (tookMs >= SHORTEST_LOAD_MS && isFastest) this.fastestLoadMs = tookMs;
    return tookMs;
  }

  /** The engine is gone. */
  forget(engineId: string): void {
    this.orders.delete(engineId);
    this.refusals.delete(engineId);
  }

  /** Drops what need not be told any more. */
  expire(nowMs: number): void {
    for (const [engineId, order] of this.orders) {
      if (nowMs >= order.forgetMs) this.orders.delete(engineId);
    }
  }

  /** Orders whose engines may have the weights by now. */
  toPoll(nowMs: number): [engineId: string, order: LoadCommand][] {
    const firstPollMs = Math.max(SHORTEST_LOAD_MS, this.fastestLoadMs * FIRST_POLL_SHARE);
    return [...this.orders].filter(
      ([, { doneMs, givenMs }]) => doneMs === undefined && nowMs - givenMs >= firstPollMs,
    );
  }

  /** What the other routers should know. */
  news(nowMs: number): WeightLoadAnnouncement[] {
    return [...this.orders].map(([engineId, { model, version, givenMs, doneMs }]) => {
      const foundMs = doneMs ?? nowMs - ((nowMs - givenMs) % RENEWAL_PERIOD_MS);
      const ageMs = Math.round(nowMs - foundMs);
      return { engineId, model, version, isLoading: doneMs === undefined, ageMs };
    });
  }
}
