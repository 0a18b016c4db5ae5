/** The clock of one simulated host: stands still while the host is paused, ends with a crash. */
import type { Clock, Timer } from '../../runtime/clock.js';

/** State of a simulated process. */
export enum HostState {
  Running = 'running',
  /** Frozen: no timer fires, nothing is received; time goes on around it. */
  Paused = 'paused',
  /** Gone for good; a restart is a new host clock. */
  Stopped = 'stopped',
}

/** Timers of one host on the common clock. */
export class HostClock implements Clock {
  private state = HostState.Running;
  private due: (() => void)[] = [];

  /** `wallSkewMs`: how far this machine's wall clock is off. */
  constructor(
    private readonly common: Clock,
    private readonly wallSkewMs = 0,
  ) {}

  get isRunning(): boolean {
    return this.state === HostState.Running;
  }

  get isStopped(): boolean {
    return this.state === HostState.Stopped;
  }

  now(): number {
    return this.common.now();
  }

  wallNow(): number {
    return this.common.wallNow() + this.wallSkewMs;
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const run = (): void => {
      if (!cancelled) callback();
    };
    this.common.setTimer(delayMs, () => this.deliver(run));
    return {
      cancel: () => {
        cancelled = true;
      },
    };
  }

  /** Runs an action of this host now, once it is no longer paused, or never. */
  deliver(action: () => void): void {
    if (this.state === HostState.Running) action();
    else if (this.state === HostState.Paused) this.due.push(action);
  }

  pause(): void {
    if (this.state === HostState.Running) this.state = HostState.Paused;
  }

  /** Runs what came due meanwhile, in order. */
  unpause(): void {
    if (this.state !== HostState.Paused) return;
    this.state = HostState.Running;
    const due = this.due;
    this.due = [];
    for (const action of due) this.deliver(action);
  }

  stop(): void {
    this.state = HostState.Stopped;
    this.due = [];
  }
}
