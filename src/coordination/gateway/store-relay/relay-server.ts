/**
 * Server of the store relay: responds to queries of other routers from this router's mirrors. A
 * query for changes is held until there are changes, its wait is over, or this router's own proof
 * is outdated and the requesting router should use another source.
 */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import type { Logger } from '../../../runtime/logger.js';
import { StorePosition } from '../../../runtime/store-position.js';
import type { FrameConnection } from '../../../transport/frame-transport.js';
import type { ObjectEvent } from '../../../protocol/object-store/port.js';
import {
  type RelayQuery,
  decodeRelayFrame,
  encodeRelayResponse,
} from '../../../protocol/peer/relay-codec.js';
import { ResponseEncoder } from './response-encoder.js';
import type { ObjectMirror } from './object-mirror.js';
import type { ObjectMirrors } from './object-mirrors.js';

/** Changes within this time are sent in one response. */
const BATCH_DELAY_MS = 40;
/** Longest time for which a query is held, whatever wait it requests. */
const MAXIMUM_HOLD_MS = 5_000;

/** A router asks one question a kind at a time, and again when it is answered. */
const MAXIMUM_HELD_QUERIES = 32;
const MAXIMUM_QUERIES_PER_SECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Characters of a name in the log. */
const MAXIMUM_NAME_LENGTH = 120;

interface HeldQuery {
  readonly query: RelayQuery;
  readonly connection: FrameConnection;
  readonly receivedAt: ElapsedInstant;
  /** Whether the kind was not yet proven current on receipt; the query is held until it is. */
  readonly isAwaitingProof: boolean;
  timer: Timer | undefined;
}

/** What a connection has asked. */
interface QueryCount {
  /** Queries that are held. */
  held: number;
  /** Queries since `sinceMs`, for a second. */
  recent: number;
  sinceMs: number;
}

/** Serves relay queries on all connections of one router. */
export class RelayServer {
  private readonly held = new Map<string, Set<HeldQuery>>();
  private readonly batchedKinds = new Set<string>();
  private readonly connections = new Map<FrameConnection, QueryCount>();
  private readonly encoder: ResponseEncoder;
  private isStopped = false;

  /** @param maximumProofAgeMs with an older proof, queries get a response without being held */
  constructor(
    private readonly mirrors: ObjectMirrors,
    private readonly maximumProofAgeMs: number,
    private readonly clock: Clock,
    logger: Logger,
  ) {
    this.encoder = new ResponseEncoder(({ name, position }, error) => {
      const { revision } = position;
      const reason = error instanceof Error ? error.message : String(error);
      const object = name.slice(0, MAXIMUM_NAME_LENGTH);
      logger.error('relayed_object_unencodable', { object, revision, reason });
    });
  }

  /** Serves a connection opened by another router. */
  accept(connection: FrameConnection): void {
    if (this.isStopped) {
      connection.destroy();
      return;
    }
    this.connections.set(connection, { held: 0, recent: 0, sinceMs: this.clock.now() });
    connection.onFrame((frame) => this.receive(frame, connection));
    connection.onClose(() => this.removeConnection(connection));
  }

  /** Responds to held queries of a kind after its mirror has changed or got its first proof. */
  notifyChange(kind: string): void {
    if (this.batchedKinds.has(kind) || (this.held.get(kind)?.size ?? 0) === 0) return;
    this.batchedKinds.add(kind);
    this.clock.setTimer(BATCH_DELAY_MS, () => {
      this.batchedKinds.delete(kind);
      for (const held of [...(this.held.get(kind) ?? [])]) this.respondIfChanged(held);
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const connection of [...this.connections.keys()]) connection.destroy();
  }

  private receive(frame: Uint8Array, connection: FrameConnection): void {
    const count = this.connections.get(connection);
    if (!count) return;
    const message = decodeRelayFrame(frame);
    if (message?.kind !== 'query' || this.asksTooMuch(count)) {
      connection.destroy();
      return;
    }
    const { query } = message;
    const held: HeldQuery = {
      query,
      connection,
      receivedAt: this.clock.elapsed(),
      isAwaitingProof: !this.mirrors.find(query.kind).isProven,
      timer: undefined,
    };
    if (query.position === undefined) this.respondWithAll(held);
    else this.hold(held);
  }

  /** Counts a query. Whether its connection asks more than a router does. */
  private asksTooMuch(count: QueryCount): boolean {
    const now = this.clock.now();
    if (now - count.sinceMs >= MILLISECONDS_PER_SECOND) {
      count.sinceMs = now;
      count.recent = 0;
    }
    count.recent += 1;
    return count.recent > MAXIMUM_QUERIES_PER_SECOND || count.held > MAXIMUM_HELD_QUERIES;
  }

  private hold(held: HeldQuery): void {
    const { kind, waitMs } = held.query;
    const mirror = this.mirrors.find(kind);
    const now = this.clock.elapsed();
    const remainingMs = waitMs - now.since(held.receivedAt);
    const untilOutdatedMs = this.maximumProofAgeMs - mirror.proofAgeMs(now);
    const limitMs = held.isAwaitingProof ? MAXIMUM_HOLD_MS : untilOutdatedMs;
    const holdMs = Math.min(remainingMs, MAXIMUM_HOLD_MS, limitMs);
    if (this.canRespond(held, mirror) || holdMs <= 0) {
      this.respondWithChanges(held);
      return;
    }
    let waiting = this.held.get(kind);
    if (!waiting) {
      waiting = new Set();
      this.held.set(kind, waiting);
    }
    waiting.add(held);
    this.countHeld(held, 1);
    held.timer = this.clock.setTimer(holdMs, () => this.endHold(held));
  }

  /** Holds a query further if the own proof was renewed meanwhile and wait time remains. */
  private endHold(held: HeldQuery): void {
    this.release(held);
    const { kind, waitMs } = held.query;
    const now = this.clock.elapsed();
    const remainingMs = waitMs - now.since(held.receivedAt);
    const isFresh = this.mirrors.find(kind).proofAgeMs(now) < this.maximumProofAgeMs;
    if (remainingMs > 1 && isFresh) this.hold({ ...held, timer: undefined });
    else this.respondWithChanges(held);
  }

  private respondIfChanged(held: HeldQuery): void {
    if (!this.canRespond(held, this.mirrors.find(held.query.kind))) return;
    this.release(held);
    this.respondWithChanges(held);
  }

  private canRespond(held: HeldQuery, mirror: ObjectMirror): boolean {
    if (held.isAwaitingProof) return mirror.isProven;
    // A mirror behind the requested position may catch up while the query is held.
    return mirror.changesAfter(positionOf(held))?.length !== 0;
  }

  private respondWithChanges(held: HeldQuery): void {
    const mirror = this.mirrors.find(held.query.kind);
    const position = positionOf(held);
    // A mirror behind the requested position proves nothing.
    const isBehind = mirror.position.isBefore(position);
    this.respond(held, mirror, isBehind ? undefined : mirror.changesAfter(position));
  }

  private respondWithAll(held: HeldQuery): void {
    const mirror = this.mirrors.find(held.query.kind);
    const events = mirror.all.map((object) => ({ object, isGone: false }));
    this.respond(held, mirror, mirror.isFilled ? events : undefined);
  }

  private respond(
    { query, connection, receivedAt }: HeldQuery,
    mirror: ObjectMirror,
    events: readonly ObjectEvent[] | undefined,
  ): void {
    const { number, kind, position: from, acceptsDeflated } = query;
    const { position } = mirror;
    const range = { kind, from, to: position };
    const changes = this.encoder.encode(range, events ?? [], acceptsDeflated);
    const now = this.clock.elapsed();
    const head = {
      number,
      isKnown: events !== undefined,
      position,
      proofAgeMs: mirror.proofAgeMs(now),
      heldMs: now.since(receivedAt),
    };
    connection.send(encodeRelayResponse(head, changes));
  }

  private release(held: HeldQuery): void {
    held.timer?.cancel();
    const { kind } = held.query;
    const waiting = this.held.get(kind);
    if (!waiting?.delete(held)) return;
    if (waiting.size === 0) this.held.delete(kind);
    this.countHeld(held, -1);
  }

  private countHeld({ connection }: HeldQuery, change: number): void {
    const count = this.connections.get(connection);
    if (count) count.held += change;
  }

  private removeConnection(connection: FrameConnection): void {
    this.connections.delete(connection);
    for (const waiting of this.held.values()) {
      for (const held of [...waiting]) if (held.connection === connection) this.release(held);
    }
  }
}

/** The position that a query starts from. */
function positionOf({ query }: HeldQuery): StorePosition {
  return query.position ?? StorePosition.start;
}
