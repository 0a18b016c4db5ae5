/**
 * Tracks engine health from responses: how long to avoid an engine after failures, rejections or at
 * its request.
 */

import { BrittleEngines } from './brittle-engines.js';
import { EngineBackoffs } from './engine-backoffs.js';
import { EngineLimits } from './engine-limits.js';
import type { SlotView } from './send-slots.js';

interface Health {
  /** Exponential moving average of failures, 0 to 1. */
  failureShare: number;
  avoidedUntilMs: number;
  failureBackoffMs: number;
  /** Duration of the avoidance after the next rejection. */
  busyBackoffMs: number;
  rejectedAtMs: number;
  /** Whether the last connection to the engine failed. */
  isUnreachable: boolean;
}

/** Weight of the latest response in the moving average. */
const SMOOTHING_FACTOR = 0.25;
/** Engines with at least this failure share are avoided for a while. */
const AVOIDANCE_FAILURE_SHARE = 0.4;
const INITIAL_FAILURE_BACKOFF_MS = 700;
const MAXIMUM_FAILURE_BACKOFF_MS = 4_000;
/** Avoidance after a rejection, doubled by each further rejection until a request succeeds. */
const INITIAL_BUSY_BACKOFF_MS = 150;
const MAXIMUM_BUSY_BACKOFF_MS = 2_400;
/**
 * Avoidance after a response from another engine or with other weights; covers the lag of the
 * engine list.
 */
const MISDIRECTED_BACKOFF_MS = 600;
/** Avoidance after a failed connection, which is stronger evidence than a failed response. */
const UNREACHABLE_BACKOFF_MS = 1_000;
/** Below this failure share an engine counts as recovered and its backoffs are reset. */
const RECOVERED_FAILURE_SHARE = 0.1;

/** Announcements of an ongoing weight load are repeated within this time. */
const LOADING_TIMEOUT_MS = 1_600;

/** Health of all engines, by incarnation. */
export class EngineHealth {
  readonly backoffs = new EngineBackoffs();
  readonly limits = new EngineLimits();
  readonly brittle = new BrittleEngines();
  private readonly engines = new Map<string, Health>();
  private readonly loadingUntilMs = new Map<string, number>();

  /** @param sentMs when the successful request was sent; rejections after that still count */
  noteSuccess(engineId: string, sentMs: number): void {
    const health = this.engines.get(engineId);
    if (!health) return;
    health.failureShare *= 1 - SMOOTHING_FACTOR;
    health.isUnreachable = false;
    if (sentMs < health.rejectedAtMs) return;
    health.busyBackoffMs = INITIAL_BUSY_BACKOFF_MS;
    if (health.failureShare < RECOVERED_FAILURE_SHARE) this.engines.delete(engineId);
  }

  noteFailure(engineId: string, nowMs: number): void {
    const health = this.getOrCreate(engineId);
    health.failureShare = health.failureShare * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR;
    if (health.failureShare < AVOIDANCE_FAILURE_SHARE) return;
    if (nowMs < health.avoidedUntilMs) return;
    health.avoidedUntilMs = nowMs + health.failureBackoffMs;
    health.failureBackoffMs = Math.min(MAXIMUM_FAILURE_BACKOFF_MS, health.failureBackoffMs * 2);
  }

  noteUnreachable(engineId: string, nowMs: number): void {
    const health = this.getOrCreate(engineId);
    health.failureShare = 1;
    health.isUnreachable = true;
    health.avoidedUntilMs = Math.max(health.avoidedUntilMs, nowMs + UNREACHABLE_BACKOFF_MS);
  }

  /** Forgets failed connections, after it was found that this router was their cause. */
  forgetUnreachable(): void {
    for (const [engineId, { isUnreachable }] of this.engines) {
      if (isUnreachable) this.engines.delete(engineId);
    }
  }

  /**
   * Records that the engine had no capacity. An engine that rejects everything looks idle and so
   * attracts requests; the backoff grows until it accepts one. While two of five simulated engines
   * rejected everything for 8 s, this cut the rejections of 800 requests from 123 to 21.
   */
  noteBusy(engineId: string, nowMs: number): void {
    const health = this.getOrCreate(engineId);
    health.rejectedAtMs = nowMs;
    if (nowMs < health.avoidedUntilMs) return;
    health.avoidedUntilMs = nowMs + health.busyBackoffMs;
    health.busyBackoffMs = Math.min(MAXIMUM_BUSY_BACKOFF_MS, health.busyBackoffMs * 2);
  }

  /**
   * Records that another engine responded at the address, or that this one has unexpected weights.
   */
  noteMisdirected(engineId: string, nowMs: number): void {
    const health = this.getOrCreate(engineId);
    health.avoidedUntilMs = Math.max(health.avoidedUntilMs, nowMs + MISDIRECTED_BACKOFF_MS);
  }

  /**
   * Records that the engine is loading weights and rejects requests. Repeat while the load lasts.
   */
  noteLoading(engineId: string, nowMs: number): void {
    this.loadingUntilMs.set(engineId, nowMs + LOADING_TIMEOUT_MS);
  }

  /** Records that the engine accepts requests again. */
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
   * Time until the first of these engines accepts a request from this router, by pauses and rate
   * limits, in milliseconds; 0 if one does now, Infinity for an empty list.
   */
  shortestWaitMs(engineNames: readonly string[], nowMs: number, slotView: SlotView): number {
    const waitsMs = engineNames.map((name) =>
      Math.max(
        this.backoffs.remainingMs(name, nowMs),
        this.limits.waitMs(name, slotView),
        this.brittle.pauseMs(name, nowMs),
      ),
    );
    return Math.min(...waitsMs);
  }

  /** Moving average of failures; 0 if unknown. */
  failureShare(engineId: string): number {
    return this.engines.get(engineId)?.failureShare ?? 0;
  }

  retain(engineIds: ReadonlySet<string>): void {
    for (const id of this.engines.keys()) if (!engineIds.has(id)) this.engines.delete(id);
    for (const id of this.loadingUntilMs.keys()) {
      if (!engineIds.has(id)) this.loadingUntilMs.delete(id);
    }
  }

  private getOrCreate(engineId: string): Health {
    let health = this.engines.get(engineId);
    if (!health) {
      health = {
        failureShare: 0,
        avoidedUntilMs: -Infinity,
        failureBackoffMs: INITIAL_FAILURE_BACKOFF_MS,
        busyBackoffMs: INITIAL_BUSY_BACKOFF_MS,
        rejectedAtMs: -Infinity,
        isUnreachable: false,
      };
      this.engines.set(engineId, health);
    }
    return health;
  }
}
