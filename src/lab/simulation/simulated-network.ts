/** A network between simulated hosts that delays, drops, duplicates, reorders and cuts. */
import type { Clock } from '../../runtime/clock.js';
import type { RandomSource } from '../../runtime/random.js';
import type { HostClock } from './host-clock.js';

/** How the network misbehaves; changed while it runs. */
export interface NetworkFaults {
  /** Shortest way, in milliseconds. */
  minimumDelayMs: number;
  /** Random addition to it. */
  jitterMs: number;
  /** Chance that a datagram is lost. */
  datagramLoss: number;
  /** Chance that a datagram arrives twice. */
  datagramDuplication: number;
}

/** Retry period of an ordered delivery across a cut. */
const CUT_RETRY_MS = 50;

/** Names of two hosts in a fixed order. */
function pairOf(left: string, right: string): string {
  return left < right ? `${left}|${right}` : `${right}|${left}`;
}

/** Hosts by name and the ways between them. */
export class SimulatedNetwork {
  readonly faults: NetworkFaults = {
    minimumDelayMs: 1,
    jitterMs: 1,
    datagramLoss: 0,
    datagramDuplication: 0,
  };
  private readonly hosts = new Map<string, HostClock>();
  private readonly cuts = new Set<string>();
  /** Says whether two hosts are on different sides of a larger cut. */
  private partition: ((left: string, right: string) => boolean) | undefined;

  constructor(
    readonly clock: Clock,
    readonly random: RandomSource,
  ) {}

  /** Adds a host, or replaces it after a crash. */
  attach(name: string, host: HostClock): void {
    this.hosts.set(name, host);
  }

  /** The running process of a host name; undefined where it is down. */
  hostOf(name: string): HostClock | undefined {
    const host = this.hosts.get(name);
    return host?.isStopped ? undefined : host;
  }

  cut(left: string, right: string): void {
    this.cuts.add(pairOf(left, right));
  }

  /** Cuts one host from all others. */
  isolate(name: string): void {
    for (const other of this.hosts.keys()) {
      if (other !== name) this.cut(name, other);
    }
  }

  /** Ends the cuts of one host. */
  join(name: string): void {
    for (const pair of this.cuts) {
      if (pair.split('|').includes(name)) this.cuts.delete(pair);
    }
  }

  /** Cuts all ways for which the function says so. */
  cutAll(partition: (left: string, right: string) => boolean): void {
    this.partition = partition;
  }

  /** Ends all cuts. */
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

  /** Delivers without order or promise. */
  sendLossy(from: string, to: string, action: () => void): void {
    if (this.isCut(from, to) || this.random.next() < this.faults.datagramLoss) return;
    const copies = this.random.next() < this.faults.datagramDuplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.clock.setTimer(this.delayMs(), () => this.hostOf(to)?.deliver(action));
    }
  }
}

interface PipedAction {
  readonly dueMs: number;
  readonly action: () => void;
}

/** One direction of a connection: delivers in order, waits across cuts, ends with its receiver. */
export class OrderedPipe {
  private queue: PipedAction[] = [];
  private lastDueMs = 0;
  private isScheduled = false;
  private closed = false;

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly from: string,
    private readonly to: string,
    /** The receiving process; what comes after its crash is lost. */
    private readonly receiver: HostClock,
  ) {}

  send(action: () => void): void {
    if (this.closed) return;
    const dueMs = Math.max(this.lastDueMs, this.network.clock.now() + this.network.delayMs());
    this.lastDueMs = dueMs;
    this.queue.push({ dueMs, action });
    this.schedule();
  }

  /** Drops all that is under way. */
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
      this.pump();
    });
  }

  private pump(): void {
    if (this.network.isCut(this.from, this.to)) {
      this.schedule(CUT_RETRY_MS);
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
