/** A simulated network with delays, loss, duplication, reordering and partitions. */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import type { HostClock } from './host-clock.js';

/** Injected network faults; can be changed at run time. */
export interface NetworkFaults {
  /** Minimum one-way delay. */
  minimumDelayMs: number;
  /** Maximum random addition to the delay. */
  jitterMs: number;
  /** Probability that a datagram is lost. */
  datagramLoss: number;
  /** Probability that a datagram arrives twice. */
  datagramDuplication: number;
}

/** Interval between delivery attempts of an ordered pipe during a partition. */
const PARTITION_RETRY_INTERVAL_MS = 50;

/** Returns the same key for two hosts in either order. */
function pairOf(left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Hosts by name and the state of the links between them. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = {
    minimumDelayMs: 1,
    jitterMs: 1,
    datagramLoss: 0,
    datagramDuplication: 0,
  };
  private readonly hosts = new Map<string, HostClock>();
  private readonly cuts = new Set<string>();
  /** Whether two hosts are on different sides of a partition. */
  private partition: ((left: string, right: string) => boolean) | undefined;

  constructor(
    readonly clock: Clock,
    readonly random: RandomSource,
  ) {}

  /** Adds a host, or replaces it after a restart. */
  attach(name: string, host: HostClock): void {
    this.hosts.set(name, host);
  }

  /** Returns the process of a host, or undefined if it has stopped. */
  hostOf(name: string): HostClock | undefined {
    const host = this.hosts.get(name);
    return host?.isStopped ? undefined : host;
  }

  cut(left: string, right: string): void {
    this.cuts.add(pairOf(left, right));
  }

  /** Cuts the links between one host and all others. */
  isolate(name: string): void {
    for (const other of this.hosts.keys()) {
      if (other !== name) this.cut(name, other);
    }
  }

  /** Restores the links that were cut at one host. */
  reconnect(name: string): void {
    for (const pair of this.cuts) {
      if (pair.split('|').includes(name)) this.cuts.delete(pair);
    }
  }

  /** Partitions the network: cuts all links for which the predicate returns true. */
  setPartition(partition: (left: string, right: string) => boolean): void {
    this.partition = partition;
  }

  /** Restores all links and ends the partition. */
  heal(): void {
    this.cuts.clear();
    this.partition = undefined;
  }

  get hasCuts(): boolean {
    return this.cuts.size > 0 || this.partition !== undefined;
  }

  isCut(left: string, right: string): boolean {
    if (this.partition?.(left, right)) return true;
    return this.cuts.size > 0 && this.cuts.has(pairOf(left, right));
  }

  delayMs(): number {
    return this.faults.minimumDelayMs + this.random.next() * this.faults.jitterMs;
  }

  /** Delivers like UDP: may lose, duplicate or reorder. */
  sendLossy(from: string, to: string, action: () => void): void {
    if (this.isCut(from, to) || this.random.next() < this.faults.datagramLoss) return;
    const copies = this.random.next() < this.faults.datagramDuplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.clock.setTimer(this.delayMs(), () => this.hostOf(to)?.deliver(action));
    }
  }
}

interface PendingDelivery {
  readonly dueMs: number;
  readonly action: () => void;
}

/** One direction of a connection: delivers in order and waits for the end of a partition. */
export class OrderedPipe {
  private queue: PendingDelivery[] = [];
  private lastDueMs = 0;
  private isScheduled = false;
  private closed = false;

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly from: string,
    private readonly to: string,
    /** The receiving process; deliveries after its crash are lost. */
    private readonly receiver: HostClock,
  ) {}

  send(action: () => void): void {
    if (this.closed) return;
    const dueMs = Math.max(this.lastDueMs, this.network.clock.now() + this.network.delayMs());
    this.lastDueMs = dueMs;
    this.queue.push({ dueMs, action });
    this.schedule();
  }

  /** Closes the pipe and drops pending deliveries. */
  close(): void {
    this.closed = true;
    this.queue = [];
  }

  private schedule(atLeastMs = 0): void {
    const [head] = this.queue;
    if (this.isScheduled || !head) return;
    this.isScheduled = true;
    const waitMs = Math.max(atLeastMs, head.dueMs - this.network.clock.now());
    this.network.clock.setTimer(waitMs, () => {
      this.isScheduled = false;
      this.deliverDue();
    });
  }

  private deliverDue(): void {
    if (this.network.isCut(this.from, this.to)) {
      this.schedule(PARTITION_RETRY_INTERVAL_MS);
      return;
    }
    const nowMs = this.network.clock.now();
    let delivered = 0;
    for (const { dueMs, action } of this.queue) {
      if (dueMs > nowMs) break;
      delivered += 1;
      this.receiver.deliver(action);
    }
    this.queue.splice(0, delivered);
    this.schedule();
  }
}
