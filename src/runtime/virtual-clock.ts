/** A clock whose time moves only when told, for tests and experiments. */
import type { Clock, Timer } from './clock.js';
import { ElapsedInstant } from './elapsed-instant.js';

/** Wall clock time at the virtual start: 2026-01-01. */
const WALL_START_MS = Date.UTC(2026, 0, 1);

interface Entry {
  dueMs: number;
  order: number;
  callback: (() => void) | undefined;
}

/** Lets all pending promise reactions and immediates run before time moves on. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Timers fire in order of their due time, equal ones in order of creation. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private created = 0;
  private readonly heap: Entry[] = [];

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
    this.created += 1;
    const dueMs = this.currentMs + Math.max(0, delayMs);
    const entry: Entry = { dueMs, order: this.created, callback };
    this.push(entry);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  /** Runs everything due within `durationMs`, then stands at the end of that span. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.currentMs + durationMs;
    await settle();
    for (let entry = this.heap[0]; entry && entry.dueMs <= endMs; entry = this.heap[0]) {
      this.pop();
      if (!entry.callback) continue;
      this.currentMs = Math.max(this.currentMs, entry.dueMs);
      entry.callback();
      await settle();
    }
    this.currentMs = endMs;
  }

  /** Advances in steps until the condition holds; answers whether it did within `limitMs`. */
  async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 10): Promise<boolean> {
    const endMs = this.currentMs + limitMs;
    while (!condition()) {
      if (this.currentMs >= endMs) return false;
      await this.advance(stepMs);
    }
    return true;
  }

  private push(entry: Entry): void {
    const heap = this.heap;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex] as Entry;
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

function isBefore(left: Entry, right: Entry): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}
