/**
 * Answers other routers from this router's mirrors of the store. A query that asks for changes is held
 * until there are some, until its time is over, or until the own proof has grown old: then the asker
 * should look elsewhere soon.
 */
import type { Clock, Timer } from '../../../runtime/clock.js';
import type { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import { StorePosition } from '../../../runtime/store-position.js';
import type { FrameConnection } from '../../../transport/frame-transport.js';
import type { ObjectEvent } from '../../../protocol/object-store/port.js';
import {
  type RelayQuery,
  decodeRelayFrame,
  encodeRelayAnswer,
} from '../../../protocol/peer/relay-codec.js';
import { AnswerChanges } from './answer-changes.js';
import type { ObjectMirror } from './object-mirror.js';
import type { ObjectMirrors } from './object-mirrors.js';

/** Changes within this time go out in one answer. */
const GATHER_MS = 40;
/** Longest time a query is held, whatever it asks for. */
const LONGEST_HOLD_MS = 5_000;

interface HeldQuery {
  readonly query: RelayQuery;
  readonly connection: FrameConnection;
  readonly received: ElapsedInstant;
  /** The kind was not proved current when the query came: it is held until it is. */
  readonly isAwaitingProof: boolean;
  timer: Timer | undefined;
}

/** The serving end of the relay. */
export class RelayServer {
  private readonly held = new Map<string, Set<HeldQuery>>();
  private readonly gathering = new Set<string>();
  private readonly connections = new Set<FrameConnection>();
  private readonly changes = new AnswerChanges();
  private isStopped = false;

  /** @param freshMs a proof older than this is told at once, not held */
  constructor(
    private readonly mirrors: ObjectMirrors,
    private readonly freshMs: number,
    private readonly clock: Clock,
  ) {}

  /** Serves a connection that another router has opened. */
  accept(connection: FrameConnection): void {
    if (this.isStopped) {
      connection.destroy();
      return;
    }
    this.connections.add(connection);
    connection.onFrame((frame) => this.receive(frame, connection));
    connection.onClose(() => this.drop(connection));
  }

  /** The mirror of a kind has changed or has its first proof: whoever waits for that is told soon. */
  noteChange(kind: string): void {
    if (this.gathering.has(kind) || (this.held.get(kind)?.size ?? 0) === 0) return;
    this.gathering.add(kind);
    this.clock.setTimer(GATHER_MS, () => {
      this.gathering.delete(kind);
      for (const held of [...(this.held.get(kind) ?? [])]) this.answerIfChanged(held);
    });
  }

  stop(): void {
    this.isStopped = true;
    for (const connection of [...this.connections]) connection.destroy();
  }

  private receive(frame: Uint8Array, connection: FrameConnection): void {
    const message = decodeRelayFrame(frame);
    if (message?.kind !== 'query') {
      connection.destroy();
      return;
    }
    const { query } = message;
    const held: HeldQuery = {
      query,
      connection,
      received: this.clock.elapsed(),
      isAwaitingProof: !this.mirrors.of(query.kind).isProven,
      timer: undefined,
    };
    if (query.position === undefined) this.answerWithAll(held);
    else this.hold(held);
  }

  private hold(held: HeldQuery): void {
    const { kind, waitMs } = held.query;
    const mirror = this.mirrors.of(kind);
    const now = this.clock.elapsed();
    const leftMs = waitMs - now.since(held.received);
    const untilOutdatedMs = this.freshMs - mirror.proofAgeMs(now);
    const limitMs = held.isAwaitingProof ? LONGEST_HOLD_MS : untilOutdatedMs;
    const holdMs = Math.min(leftMs, LONGEST_HOLD_MS, limitMs);
    if (this.hasNews(held, mirror) || holdMs <= 0) {
      this.answerWithChanges(held);
      return;
    }
    let waiting = this.held.get(kind);
    if (!waiting) {
      waiting = new Set();
      this.held.set(kind, waiting);
    }
    waiting.add(held);
    held.timer = this.clock.setTimer(holdMs, () => this.endHold(held));
  }

  /** The own proof may have been renewed meanwhile: then there is time left to wait. */
  private endHold(held: HeldQuery): void {
    this.release(held);
    const { kind, waitMs } = held.query;
    const now = this.clock.elapsed();
    const leftMs = waitMs - now.since(held.received);
    const isFresh = this.mirrors.of(kind).proofAgeMs(now) < this.freshMs;
    if (leftMs > 1 && isFresh) this.hold({ ...held, timer: undefined });
    else this.answerWithChanges(held);
  }

  private answerIfChanged(held: HeldQuery): void {
    if (!this.hasNews(held, this.mirrors.of(held.query.kind))) return;
    this.release(held);
    this.answerWithChanges(held);
  }

  private hasNews(held: HeldQuery, mirror: ObjectMirror): boolean {
    if (held.isAwaitingProof) return mirror.isProven;
    // A mirror that is behind the asker has none yet: it may catch up while the query is held.
    return mirror.changesAfter(positionOf(held))?.length !== 0;
  }

  private answerWithChanges(held: HeldQuery): void {
    const mirror = this.mirrors.of(held.query.kind);
    const position = positionOf(held);
    // A mirror behind the asker proves nothing to it.
    const isBehind = mirror.position.isBefore(position);
    this.answer(held, mirror, isBehind ? undefined : mirror.changesAfter(position));
  }

  private answerWithAll(held: HeldQuery): void {
    const mirror = this.mirrors.of(held.query.kind);
    const events = mirror.all.map((object) => ({ object, isGone: false }));
    this.answer(held, mirror, mirror.isFilled ? events : undefined);
  }

  private answer(
    { query, connection, received }: HeldQuery,
    mirror: ObjectMirror,
    events: readonly ObjectEvent[] | undefined,
  ): void {
    const { number, kind, position: from, acceptsDeflated } = query;
    const { position } = mirror;
    const span = { kind, from, to: position };
    const changes = this.changes.encode(span, events ?? [], acceptsDeflated);
    const now = this.clock.elapsed();
    const head = {
      number,
      isKnown: events !== undefined,
      position,
      proofAgeMs: mirror.proofAgeMs(now),
      heldMs: now.since(received),
    };
    connection.send(encodeRelayAnswer(head, changes));
  }

  private release(held: HeldQuery): void {
    held.timer?.cancel();
    this.held.get(held.query.kind)?.delete(held);
  }

  private drop(connection: FrameConnection): void {
    this.connections.delete(connection);
    for (const waiting of this.held.values()) {
      for (const held of [...waiting]) if (held.connection === connection) this.release(held);
    }
  }
}

/** Where the asker stands; before all where it asks for all objects. */
function positionOf({ query }: HeldQuery): StorePosition {
  return query.position ?? StorePosition.start;
}
