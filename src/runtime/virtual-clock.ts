/** A clock that is advanced explicitly, for tests and experiments. */
import type { Clock, Timer } from './clock.js';
import { ElapsedInstant } from './elapsed-instant.js';

/** Wall-clock time at the virtual start: 2026-01-01. */
const WALL_START_MS = Date.UTC(2026, 0, 1);

interface ScheduledCallback {
  dueMs: number;
  sequence: number;
  callback: (() => void) | undefined;
}

/** Runs all pending promise reactions and immediates before time advances. */
function runPendingTasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Timers fire in order of their due time, and in order of creation if that is equal. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private createdTimers = 0;
  private readonly heap: ScheduledCallback[] = [];

  now(): number {
    return this.currentMs;
  }

  elapsed(): ElapsedInstant {
    return new ElapsedInstant(this.currentMs);
  }

  wallNow(): number {
    return WALL_START_MS + this.currentMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    this.createdTimers += 1;
    const dueMs = this.currentMs + Math.max(0, delayMs);
    const entry: ScheduledCallback = { dueMs, sequence: this.createdTimers, callback };
    this.push(entry);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  afterReading(callback: () => void): void {
    callback();
  }

  /** Runs all callbacks due within `durationMs`, then sets the time to the end of that period. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.currentMs + durationMs;
    await runPendingTasks();
    for (let entry = this.heap[0]; entry && entry.dueMs <= endMs; entry = this.heap[0]) {
      this.pop();
      if (!entry.callback) continue;
      this.currentMs = Math.max(this.currentMs, entry.dueMs);
      entry.callback();
      await runPendingTasks();
    }
    this.currentMs = endMs;
  }

  /** Advances in steps until the condition holds; returns whether it did within `limitMs`. */
  async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 10): Promise<boolean> {
    const endMs = this.currentMs + limitMs;
    while (!condition()) {
      if (this.currentMs >= endMs) return false;
      await this.advance(stepMs);
    }
    return true;
  }

  private push(entry: ScheduledCallback): void {
    const heap = this.heap;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex] as ScheduledCallback;
      if (!isBefore(entry, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = entry;
  }

  private pop(): void {
    const heap = this.heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      const left = heap[childIndex];
      if (!left) break;
      const right = heap[childIndex + 1];
      const child = right && isBefore(right, left) ? right : left;
      if (child === right) childIndex += 1;
      if (!isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}

function isBefore(left: ScheduledCallback, right: ScheduledCallback): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}
