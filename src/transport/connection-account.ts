/**
 * Account of what the accepted connections of one router, of all its listeners, make it hold:
 * descriptors, and bytes beside the bodies and responses that its byte budget counts. Where the
 * limits are reached, a connection on which nothing runs is closed for the newer one: the one that
 * has been without a request for longest, or the one that holds most. One whose request runs is closed
 * only if it holds more than one request takes. Pure.
 */
import { CONNECTION_BYTES, type ConnectionLimits } from './connection-limits.js';

/** What a connection whose request runs may hold: itself, its request and another head. */
const RUNNING_BYTES = 3 * CONNECTION_BYTES;

/** One accepted connection. */
export interface ConnectionShare {
  /** Sets the bytes that the connection holds beside itself. May close this connection or others. */
  hold(bytes: number): void;
  /** Sets whether a request of the connection runs, during which it is not closed for others. */
  setRunning(isRunning: boolean): void;
  /** The connection has been closed. */
  release(): void;
}

/** Why a connection was closed. */
export enum EvictionReason {
  Connections = 'connections',
  Bytes = 'bytes',
}

/** A connection that was closed for others. */
export interface EvictedConnection {
  readonly reason: EvictionReason;
  /** Bytes that it held, and that all held before. */
  readonly bytes: number;
  readonly heldBytes: number;
  readonly connections: number;
}

/** Who may stay and who is closed. */
export class ConnectionAccount {
  /** Connections on which no request runs, the one that has been so for longest first. */
  private readonly waiting = new Set<CountedConnection>();
  private readonly running = new Set<CountedConnection>();
  private open = 0;
  private totalBytes = 0;
  private evictedCount = 0;

  /** @param onEvicted called after a connection was closed for others */
  constructor(
    readonly limits: ConnectionLimits,
    private readonly onEvicted: (evicted: EvictedConnection) => void = () => undefined,
  ) {}

  get connections(): number {
    return this.open;
  }

  /** Of all connections, with what each one takes by itself. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** Connections closed for others since the start. */
  get evictions(): number {
    return this.evictedCount;
  }

  /**
   * Counts a connection that was accepted. It is closed itself if requests run on all others.
   *
   * @param close closes the connection at once; called at most once, and not after `release`
   * @param reserve connections beyond the limit that listeners of this kind may open
   */
  accept(close: () => void, reserve = 0): ConnectionShare {
    const connection = new CountedConnection(this, close);
    this.waiting.add(connection);
    this.open += 1;
    this.changeBytes(CONNECTION_BYTES);
    while (this.open > this.limits.connections + reserve) {
      this.evict(this.longestWaiting() ?? connection, EvictionReason.Connections);
    }
    return connection;
  }

  /** Applies a change of the bytes of one connection. */
  changeBytes(delta: number): void {
    this.totalBytes += delta;
    while (delta > 0 && this.totalBytes > this.limits.bytes) {
      const largest = largestOf(this.waiting, 0) ?? largestOf(this.running, RUNNING_BYTES);
      if (!largest) return;
      this.evict(largest, EvictionReason.Bytes);
    }
  }

  setRunning(connection: CountedConnection, isRunning: boolean): void {
    const [from, to] = isRunning ? [this.waiting, this.running] : [this.running, this.waiting];
    if (from.delete(connection)) to.add(connection);
  }

  /** Forgets a connection and its bytes. */
  remove(connection: CountedConnection): void {
    this.waiting.delete(connection);
    this.running.delete(connection);
    this.open -= 1;
    this.totalBytes -= connection.bytes;
  }

  private evict(connection: CountedConnection, reason: EvictionReason): void {
    const { bytes } = connection;
    const evicted = { reason, bytes, heldBytes: this.totalBytes, connections: this.open };
    this.evictedCount += 1;
    connection.evict();
    this.onEvicted(evicted);
  }

  private longestWaiting(): CountedConnection | undefined {
    return this.waiting.values().next().value;
  }
}

/**
 * The connection that holds most, and more than the bytes given; the first of equal ones. Takes time
 * in proportion to the connections, but only for each one that is closed.
 */
function largestOf(
  connections: ReadonlySet<CountedConnection>,
  exceededBytes: number,
): CountedConnection | undefined {
  let largest: CountedConnection | undefined;
  for (const each of connections) {
    if (each.bytes > (largest?.bytes ?? exceededBytes)) largest = each;
  }
  return largest;
}

class CountedConnection implements ConnectionShare {
  bytes = CONNECTION_BYTES;
  private isReleased = false;

  constructor(
    private readonly account: ConnectionAccount,
    private readonly close: () => void,
  ) {}

  hold(bytes: number): void {
    if (this.isReleased) return;
    const delta = CONNECTION_BYTES + bytes - this.bytes;
    if (delta === 0) return;
    this.bytes += delta;
    this.account.changeBytes(delta);
  }

  setRunning(isRunning: boolean): void {
    if (!this.isReleased) this.account.setRunning(this, isRunning);
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.account.remove(this);
  }

  evict(): void {
    this.release();
    this.close();
  }
}
