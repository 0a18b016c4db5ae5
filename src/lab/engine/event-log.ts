/** The stand-in's cache event stream: numbered, late, and with gaps where told. */
import type { RandomSource } from '../../runtime/random.js';

/** An entry of the stream. */
export interface LoggedEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed';
  readonly block: bigint;
  readonly parent: bigint | undefined;
  readonly visibleAtMs: number;
}

/** How the stream misbehaves. */
export interface EventFaults {
  /** Time before an event can be read. */
  delayMs: number;
  /** Chance that an event is lost; its number is used up. */
  lossChance: number;
}

const RETAINED_EVENTS = 20_000;

/** The events of one engine incarnation. */
export class EventLog {
  private events: LoggedEvent[] = [];
  private next = 1;

  constructor(
    private readonly faults: EventFaults,
    private readonly random: RandomSource,
  ) {}

  /** Number of the next event. */
  get nextSequence(): number {
    return this.next;
  }

  append(
    kind: 'stored' | 'removed',
    block: bigint,
    parent: bigint | undefined,
    nowMs: number,
  ): void {
    const sequence = this.next;
    this.next += 1;
    if (this.faults.lossChance > 0 && this.random.next() < this.faults.lossChance) return;
    const visibleAtMs = nowMs + this.faults.delayMs;
    this.events.push({ sequence, kind, block, parent, visibleAtMs });
    if (this.events.length > 2 * RETAINED_EVENTS) this.events = this.events.slice(-RETAINED_EVENTS);
  }

  /** Visible events from a number on, at most `limit`. */
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
