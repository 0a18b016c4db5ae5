/** Clock, timers and process state of one simulated host on the shared virtual clock. */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';

/** State of a simulated process. */
export enum HostState {
  Running = 'running',
  /** Frozen: no timer fires and nothing is received; the clocks go on. */
  Paused = 'paused',
  /** The machine is suspended: like `Paused`, and the monotonic clock and timers stop too. */
  Suspended = 'suspended',
  /** Terminated; a restart creates a new host clock. */
  Stopped = 'stopped',
}

/** Exceeds floating-point errors in sums of times; keeps a timer from being re-armed for them. */
const ROUNDING_TOLERANCE_MS = 0.001;

/** Deviations of a host's clocks. */
export interface HostClockOptions {
  /** Offset of the wall clock, in milliseconds. */
  readonly wallSkewMs?: number;
  /** False to simulate a process whose `elapsed()` wrongly excludes suspensions. */
  readonly countsSuspensions?: boolean;
}

/** Clocks and timers of one host. */
export class HostClock implements Clock {
  private state = HostState.Running;
  private pendingActions: (() => void)[] = [];
  private suspendedMs = 0;
  private suspendedSinceMs = 0;

  constructor(
    private readonly sharedClock: Clock,
    private readonly options: HostClockOptions = {},
  ) {}

  get isRunning(): boolean {
    return this.state === HostState.Running;
  }

  get isStopped(): boolean {
    return this.state === HostState.Stopped;
  }

  now(): number {
    return this.sharedClock.now() - this.totalSuspendedMs;
  }

  elapsed(): ElapsedInstant {
    const { countsSuspensions = true } = this.options;
    return countsSuspensions
      ? this.sharedClock.elapsed()
      : this.sharedClock.elapsed().plus(-this.totalSuspendedMs);
  }

  wallNow(): number {
    return this.sharedClock.wallNow() + (this.options.wallSkewMs ?? 0);
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const dueMs = this.now() + Math.max(0, delayMs);
    const fire = (): void => {
      if (cancelled) return;
      // Timers follow the monotonic clock: after a suspension, part of the delay remains.
      const remainingMs = dueMs - this.now();
      if (remainingMs > ROUNDING_TOLERANCE_MS)
        this.sharedClock.setTimer(remainingMs, () => this.deliver(fire));
      else callback();
    };
    this.sharedClock.setTimer(delayMs, () => this.deliver(fire));
    return {
      cancel: () => {
        cancelled = true;
      },
    };
  }

  afterReading(callback: () => void): void {
    this.sharedClock.afterReading(() => this.deliver(callback));
  }

  /** Runs an action now, or when the host runs again; drops it if the host has stopped. */
  deliver(action: () => void): void {
    if (this.state === HostState.Running) action();
    else if (this.state !== HostState.Stopped) this.pendingActions.push(action);
  }

  pause(): void {
    if (this.state === HostState.Running) this.state = HostState.Paused;
  }

  /** Resumes a paused host and runs the pending actions in order. */
  unpause(): void {
    if (this.state === HostState.Paused) this.resumeDelivery();
  }

  /** Suspends the machine, which stops its monotonic clock. */
  suspend(): void {
    if (this.state !== HostState.Running) return;
    this.state = HostState.Suspended;
    this.suspendedSinceMs = this.sharedClock.now();
  }

  /** Ends a suspension: pending actions run, and timers continue with their remaining delay. */
  wake(): void {
    if (this.state !== HostState.Suspended) return;
    this.suspendedMs += this.sharedClock.now() - this.suspendedSinceMs;
    this.resumeDelivery();
  }

  stop(): void {
    this.state = HostState.Stopped;
    this.pendingActions = [];
  }

  /** Total time for which the monotonic clock was stopped, in milliseconds. */
  private get totalSuspendedMs(): number {
    const isSuspended = this.state === HostState.Suspended;
    return this.suspendedMs + (isSuspended ? this.sharedClock.now() - this.suspendedSinceMs : 0);
  }

  private resumeDelivery(): void {
    this.state = HostState.Running;
    const due = this.pendingActions;
    this.pendingActions = [];
    for (const action of due) this.deliver(action);
  }
}
