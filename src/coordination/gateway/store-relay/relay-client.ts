/** Client of the store relay: queries other routers over one persistent connection to each. */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { StorePosition } from '../../../runtime/store-position.js';
import type { FrameConnection, FrameTransport } from '../../../transport/frame-transport.js';
import { ProtocolFailure } from '../../../protocol/errors.js';
import {
  type RelayResponse,
  decodeRelayFrame,
  encodeRelayQuery,
} from '../../../protocol/peer/relay-codec.js';

/** Response timeout beyond the time for which a query may be held. */
const RESPONSE_TIMEOUT_MS = 300;
const IDLE_LIFETIME_MS = 15_000;

interface PendingQuery {
  readonly resolve: (response: RelayResponse) => void;
  readonly reject: (failure: ProtocolFailure) => void;
  readonly timer: Timer;
}

/** Keeps the connections to other routers and closes idle ones. */
export class RelayClient {
  private readonly links = new Map<string, RelayLink>();
  private isStopped = false;

  constructor(
    private readonly transport: FrameTransport,
    private readonly clock: Clock,
  ) {}

  /**
   * Queries one router. Rejects with a `ProtocolFailure` after a timeout, which also closes the
   * connection, since a slow router can't be distinguished from a disconnected one.
   *
   * @param position requests the changes after this position; undefined for all objects
   */
  query(
    address: string,
    kind: string,
    position: StorePosition | undefined,
    waitMs: number,
  ): Promise<RelayResponse> {
    this.closeIdleLinks();
    let link = this.links.get(address);
    if (!link || link.isClosed) {
      link = new RelayLink(address, this.transport, this.clock);
      this.links.set(address, link);
    }
    if (this.isStopped) link.close('stopped');
    return link.query(kind, position, waitMs);
  }

  stop(): void {
    this.isStopped = true;
    for (const link of this.links.values()) link.close('stopped');
  }

  private closeIdleLinks(): void {
    for (const [address, link] of this.links) {
      if (!link.isClosed && this.clock.now() - link.lastUsedMs < IDLE_LIFETIME_MS) continue;
      link.close('idle');
      this.links.delete(address);
    }
  }
}

/** The connection to one router and its pending queries. */
class RelayLink {
  private readonly pending = new Map<number, PendingQuery>();
  private readonly unsent: Uint8Array[] = [];
  private connection: FrameConnection | undefined;
  private queries = 0;
  isClosed = false;
  lastUsedMs: number;

  constructor(
    private readonly address: string,
    transport: FrameTransport,
    private readonly clock: Clock,
  ) {
    this.lastUsedMs = clock.now();
    transport.connect(address).then(
      (connection) => this.open(connection),
      (cause: unknown) => this.close(cause instanceof Error ? cause.message : String(cause)),
    );
  }

  query(kind: string, position: StorePosition | undefined, waitMs: number): Promise<RelayResponse> {
    this.lastUsedMs = this.clock.now();
    this.queries += 1;
    const number = this.queries;
    return new Promise((resolve, reject) => {
      if (this.isClosed) {
        reject(this.failure('closed'));
        return;
      }
      const limitMs = waitMs + RESPONSE_TIMEOUT_MS;
      const timer = this.clock.setTimer(limitMs, () => this.close('response timed out'));
      this.pending.set(number, { resolve, reject, timer });
      const frame = encodeRelayQuery({
        number,
        kind,
        position,
        waitMs,
        acceptsDeflated: true,
      });
      if (this.connection) this.connection.send(frame);
      else this.unsent.push(frame);
    });
  }

  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.connection?.destroy();
    for (const { reject, timer } of this.pending.values()) {
      timer.cancel();
      reject(this.failure(reason));
    }
    this.pending.clear();
  }

  private open(connection: FrameConnection): void {
    if (this.isClosed) {
      connection.destroy();
      return;
    }
    this.connection = connection;
    connection.onFrame((frame) => this.receive(frame));
    connection.onClose(() => this.close('connection closed'));
    for (const frame of this.unsent.splice(0)) connection.send(frame);
  }

  private receive(frame: Uint8Array): void {
    const message = decodeRelayFrame(frame);
    if (message?.kind !== 'answer') {
      this.close('malformed response');
      return;
    }
    const { answer } = message;
    const query = this.pending.get(answer.number);
    if (!query) return;
    this.pending.delete(answer.number);
    query.timer.cancel();
    query.resolve(answer);
  }

  private failure(reason: string): ProtocolFailure {
    return new ProtocolFailure({ kind: 'interrupted', address: this.address, reason });
  }
}
