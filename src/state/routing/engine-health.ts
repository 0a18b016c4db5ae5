/** What answers tell of an engine's health: how long it is left alone after failures and at its own wish. */

import { EngineBackoffs } from './engine-backoffs.js';
import { EngineLimits } from './engine-limits.js';
import type { SlotView } from './send-slots.js';

interface Health {
  /** Moving share of failures among the last answers, 0 to 1. */
  failureShare: number;
  avoidedUntilMs: number;
  pauseMs: number;
  /** How long the next refusal keeps requests away. */
  busyPauseMs: number;
  refusedMs: number;
}

/** Weight of the newest answer in the moving share. */
const NEWEST_WEIGHT = 0.25;
/** At this share of failures the engine is left alone for a while. */
const FAILURE_SHARE_TO_AVOID = 0.4;
const FIRST_PAUSE_MS = 700;
const LONGEST_PAUSE_MS = 4_000;
/** An engine that refused a request is left alone for this long, twice as long after each further trial. */
const FIRST_BUSY_PAUSE_MS = 150;
const LONGEST_BUSY_PAUSE_MS = 2_400;
/** Another engine at the address, or other weights: the list of engines is out of date for about this long. */
const MISDIRECTED_PAUSE_MS = 600;
/** A connection that can't be opened says more than a failed answer. */
const UNREACHABLE_PAUSE_MS = 1_000;
/** Below this share an engine counts as well again and its pauses start short. */
const RECOVERED_SHARE = 0.1;

/** An engine that takes weights refuses work; news of a load that lasts come again within this time. */
const LOADING_LIFETIME_MS = 1_600;

/** Health of all engines, by incarnation. */
export class EngineHealth {
  readonly backoffs = new EngineBackoffs();
  readonly limits = new EngineLimits();
  private readonly engines = new Map<string, Health>();
  private readonly loadingUntilMs = new Map<string, number>();

  /** @param sentMs when the request was sent that came to a good end; refusals since then still count */
  noteSuccess(engineId: string, sentMs: number): void {
    const health = this.engines.get(engineId);
    if (!health) return;
    health.failureShare *= 1 - NEWEST_WEIGHT;
    if (sentMs < health.refusedMs) return;
    health.busyPauseMs = FIRST_BUSY_PAUSE_MS;
    if (health.failureShare < RECOVERED_SHARE) this.engines.delete(engineId);
  }

  noteFailure(engineId: string, nowMs: number): void {
    const health = this.of(engineId);
    health.failureShare = health.failureShare * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
    if (health.failureShare < FAILURE_SHARE_TO_AVOID) return;
    if (nowMs < health.avoidedUntilMs) return;
    health.avoidedUntilMs = nowMs + health.pauseMs;
    health.pauseMs = Math.min(LONGEST_PAUSE_MS, health.pauseMs * 2);
  }

  noteUnreachable(engineId: string, nowMs: number): void {
    const health = this.of(engineId);
    health.failureShare = 1;
    health.avoidedUntilMs = Math.max(health.avoidedUntilMs, nowMs + UNREACHABLE_PAUSE_MS);
  }

  /**
   * The engine had no place. One that refuses everything looks idle and so draws requests: it is tried ever more
   * seldom until it takes one. Of 800 requests, 21 were refused instead of 123 while two of five engines refused
   * all for 8 s (simulated deployment of 3 routers).
   */
  noteBusy(engineId: string, nowMs: number): void {
    const health = this.of(engineId);
    health.refusedMs = nowMs;
    if (nowMs < health.avoidedUntilMs) return;
    health.avoidedUntilMs = nowMs + health.busyPauseMs;
    health.busyPauseMs = Math.min(LONGEST_BUSY_PAUSE_MS, health.busyPauseMs * 2);
  }

  /** Another engine answered at the address, or this one has other weights than expected. */
  noteMisdirected(engineId: string, nowMs: number): void {
    const health = this.of(engineId);
    health.avoidedUntilMs = Math.max(health.avoidedUntilMs, nowMs + MISDIRECTED_PAUSE_MS);
  }

  /** The engine takes other weights, so it is certain to refuse; repeat while it lasts. */
  noteLoading(engineId: string, nowMs: number): void {
    this.loadingUntilMs.set(engineId, nowMs + LOADING_LIFETIME_MS);
  }

  /** The engine takes work again. */
  noteLoaded(engineId: string): void {
    if (!this.loadingUntilMs.delete(engineId)) return;
    const health = this.engines.get(engineId);
    if (health) health.avoidedUntilMs = -Infinity;
  }

  isLoading(engineId: string, nowMs: number): boolean {
    return nowMs < (this.loadingUntilMs.get(engineId) ?? -Infinity);
  }

  isAvoided(engineId: string, nowMs: number): boolean {
    return nowMs < (this.engines.get(engineId)?.avoidedUntilMs ?? -Infinity);
  }

  /**
   * Time until the first of these engines takes a request of this router, by pauses and limits, in milliseconds; 0 where
   * one does now, Infinity for no engines.
   */
  shortestWaitMs(engineNames: readonly string[], nowMs: number, turns: SlotView): number {
    const waitsMs = engineNames.map((name) =>
      Math.max(this.backoffs.remainingMs(name, nowMs), this.limits.waitMs(name, turns)),
    );
    return Math.min(...waitsMs);
  }

  /** Moving share of failures, 0 where nothing is known. */
  failureShare(engineId: string): number {
    return this.engines.get(engineId)?.failureShare ?? 0;
  }

  retain(engineIds: ReadonlySet<string>): void {
    for (const id of this.engines.keys()) if (!engineIds.has(id)) this.engines.delete(id);
    for (const id of this.loadingUntilMs.keys()) {
      if (!engineIds.has(id)) this.loadingUntilMs.delete(id);
    }
  }

  private of(engineId: string): Health {
    let health = this.engines.get(engineId);
    if (!health) {
      health = {
        failureShare: 0,
        avoidedUntilMs: -Infinity,
        pauseMs: FIRST_PAUSE_MS,
        busyPauseMs: FIRST_BUSY_PAUSE_MS,
        refusedMs: -Infinity,
      };
      this.engines.set(engineId, health);
    }
    return health;
  }
}
