/** Guards against a stop that takes longer than the grace period, after which the platform kills the router. */
import test from 'ava';
import { StopSequence } from '../../platform/stop-sequence.js';
import type { Ingress } from '../../platform/ingress.js';
import type { GatewayNode } from '../../src/coordination/gateway/gateway-node.js';
import type { Clock, Timer } from '../../src/runtime/clock.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import { afterReading } from '../../src/runtime/after-reading.js';

const GRACE_S = 8;
const GRACE_MS = GRACE_S * 1_000;
const STEP_MS = 10;

/** A clock whose time passes only in steps of the test, so that no load delays a timer. */
class SteppedClock implements Clock {
  private nowMs = 0;
  private readonly timers = new Map<object, { atMs: number; callback: () => void }>();

  now(): number {
    return this.nowMs;
  }

  elapsed(): ElapsedInstant {
    return new ElapsedInstant(this.nowMs);
  }

  wallNow(): number {
    return this.nowMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const key = {};
    this.timers.set(key, { atMs: this.nowMs + Math.max(0, delayMs), callback });
    return { cancel: () => this.timers.delete(key) };
  }

  afterReading(callback: () => void): void {
    afterReading(callback);
  }

  async step(): Promise<void> {
    this.nowMs += STEP_MS;
    for (const [key, { atMs, callback }] of this.timers) {
      if (atMs > this.nowMs) continue;
      this.timers.delete(key);
      callback();
    }
    await new Promise<void>((resolve) => afterReading(() => afterReading(resolve)));
  }
}

/** Times of the stop, from when the signal was sent. */
interface StopTimes {
  endedMs: number | undefined;
  exitedMs: number | undefined;
}

async function stopTimes(runningCalls: number, noticedAfterMs: number): Promise<StopTimes> {
  const clock = new SteppedClock();
  const times: StopTimes = { endedMs: undefined, exitedMs: undefined };
  const sinceSignalMs = (): number => clock.now() + noticedAfterMs;
  const node = {
    runningCalls,
    forwardedConnections: 0,
    leave: () => undefined,
    stop: () => (times.endedMs = sinceSignalMs()),
  } as unknown as GatewayNode;
  const ingress = {
    isListening: true,
    openRequests: runningCalls,
    drain: () => undefined,
    close: () => ((ingress as { isListening: boolean }).isListening = false),
    closeUnused: () => undefined,
  } as unknown as Ingress;
  const log = (): void => undefined;
  const logger = { debug: log, info: log, warn: log, error: log };
  const signals = { longestDelayMs: noticedAfterMs };
  new StopSequence(node, ingress, clock, logger, GRACE_S, signals, () => {
    times.exitedMs = sinceSignalMs();
  }).begin();
  while (times.exitedMs === undefined && sinceSignalMs() < 2 * GRACE_MS) await clock.step();
  return times;
}

for (const noticedAfterMs of [0, 150, 800]) {
  test(`a router with requests that go on exits within its grace, signal noticed after ${noticedAfterMs} ms`, async (t) => {
    const { endedMs = Infinity, exitedMs = Infinity } = await stopTimes(1, noticedAfterMs);
    t.true(endedMs >= (GRACE_MS * 5) / 6, `ended at ${endedMs} ms`);
    t.true(exitedMs < GRACE_MS, `exited at ${exitedMs} ms`);
  });

  test(`an idle router exits soon after it stopped listening, signal noticed after ${noticedAfterMs} ms`, async (t) => {
    const { exitedMs = Infinity } = await stopTimes(0, noticedAfterMs);
    t.true(exitedMs > 3_000 && exitedMs < 4_000, `exited at ${exitedMs} ms`);
  });
}
