/** The fake engine's numbered stream of cache events, with configurable delay and loss. */
import type { RandomSource } from '../../runtime/random.js';

/** A cache event and the time from which it can be read. */
export interface LoggedEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed';
  readonly block: bigint;
  readonly parent: bigint | undefined;
  readonly visibleAtMs: number;
}

/** Injected faults of the event stream. */
export interface EventFaults {
  /** Time until an event can be read. */
  delayMs: number;
  /** Probability that an event is lost; its sequence number is skipped. */
  lossChance: number;
}

const RETAINED_EVENTS = 20_000;

/** The cache events of one engine incarnation. */
export class EventLog {
  private events: LoggedEvent[] = [];
  private nextNumber = 1;

  constructor(
    private readonly faults: EventFaults,
    private readonly random: RandomSource,
  ) {}

  /** Sequence number of the next event. */
  get nextSequence(): number {
    return this.nextNumber;
  }

  append(
    kind: 'stored' | 'removed',
    block: bigint,
    parent: bigint | undefined,
    nowMs: number,
  ): void {
    const sequence = this.nextNumber;
    this.nextNumber += 1;
    if (this.faults.lossChance > 0 && this.random.next() < this.faults.lossChance) return;
    const visibleAtMs = nowMs + this.faults.delayMs;
    this.events.push({ sequence, kind, block, parent, visibleAtMs });
    if (this.events.length > 2 * RETAINED_EVENTS) this.events = this.events.slice(-RETAINED_EVENTS);
  }

  /** Returns at most `limit` visible events from a sequence number on. */
  read(fromSequence: number, nowMs: number, limit: number): LoggedEvent[] {
    const start = this.indexOf(fromSequence);
    const visible: LoggedEvent[] = [];
    for (let index = start; index < this.events.length && visible.length < limit; index += 1) {
      const event = this.events[index] as LoggedEvent;
      if (event.visibleAtMs > nowMs) break;
      visible.push(event);
    }
    return visible;
  }

  private indexOf(sequence: number): number {
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.events[middle] as LoggedEvent).sequence < sequence) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
