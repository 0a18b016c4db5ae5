/** The clock of one simulated host: stands still while the host is paused, ends with a crash. */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';

/** State of a simulated process. */
export enum HostState {
  Running = 'running',
  /** Frozen: no timer fires, nothing is received; time goes on around it. */
  Paused = 'paused',
  /** Its machine is suspended: as frozen, and its steady clock and timers stand still. */
  Suspended = 'suspended',
  /** Gone for good; a restart is a new host clock. */
  Stopped = 'stopped',
}

/** Sums of times that should be equal differ by less; a timer set for less would never come due. */
const ROUNDING_MS = 0.001;

/** How the clocks of a host go. */
export interface HostClockOptions {
  /** How far this machine's time of day is off, in milliseconds. */
  readonly wallSkewMs?: number;
  /** False where the process, wrongly, takes its steady clock for one that counts suspensions. */
  readonly countsSuspensions?: boolean;
}

/** Timers and clocks of one host on the common clock. */
export class HostClock implements Clock {
  private state = HostState.Running;
  private due: (() => void)[] = [];
  private suspendedMs = 0;
  private suspendedSinceMs = 0;

  constructor(
    private readonly common: Clock,
    private readonly options: HostClockOptions = {},
  ) {}

  get isRunning(): boolean {
    return this.state === HostState.Running;
  }

  get isStopped(): boolean {
    return this.state === HostState.Stopped;
  }

  now(): number {
    return this.common.now() - this.lostMs;
  }

  elapsed(): ElapsedInstant {
    const { countsSuspensions = true } = this.options;
    return countsSuspensions ? this.common.elapsed() : this.common.elapsed().plus(-this.lostMs);
  }

  wallNow(): number {
    return this.common.wallNow() + (this.options.wallSkewMs ?? 0);
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const dueMs = this.now() + Math.max(0, delayMs);
    const fire = (): void => {
      if (cancelled) return;
      // Timers stand still with the steady clock: after a suspension some of the delay is left.
      const leftMs = dueMs - this.now();
      if (leftMs > ROUNDING_MS) this.common.setTimer(leftMs, () => this.deliver(fire));
      else callback();
    };
    this.common.setTimer(delayMs, () => this.deliver(fire));
    return {
      cancel: () => {
        cancelled = true;
      },
    };
  }

  /** Runs an action of this host now, once it is no longer paused, or never. */
  deliver(action: () => void): void {
    if (this.state === HostState.Running) action();
    else if (this.state !== HostState.Stopped) this.due.push(action);
  }

  pause(): void {
    if (this.state === HostState.Running) this.state = HostState.Paused;
  }

  /** Runs what came due meanwhile, in order. */
  unpause(): void {
    if (this.state === HostState.Paused) this.goOn();
  }

  /** The machine is suspended: its steady clock stands still. */
  suspend(): void {
    if (this.state !== HostState.Running) return;
    this.state = HostState.Suspended;
    this.suspendedSinceMs = this.common.now();
  }

  /** The machine wakes: what arrived meanwhile is handled, and timers go on where they stood. */
  wake(): void {
    if (this.state !== HostState.Suspended) return;
    this.suspendedMs += this.common.now() - this.suspendedSinceMs;
    this.goOn();
  }

  stop(): void {
    this.state = HostState.Stopped;
    this.due = [];
  }

  /** Time in which the steady clock stood still, in milliseconds. */
  private get lostMs(): number {
    const isSuspended = this.state === HostState.Suspended;
    return this.suspendedMs + (isSuspended ? this.common.now() - this.suspendedSinceMs : 0);
  }

  private goOn(): void {
    this.state = HostState.Running;
    const due = this.due;
    this.due = [];
    for (const action of due) this.deliver(action);
  }
}
