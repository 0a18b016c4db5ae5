/**
 * The store as a router of a group sees it: a few routers read it themselves, the others follow it
 * through one of these; where the chosen way fails, the other one is tried.
 *
 * What is relayed carries its proof: the age of the call to the store that found the revision current.
 * The asker counts that age from when it asked, so no delay on the way makes a proof seem younger.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import type {
  ObjectList,
  ObjectStorePort,
  StoredObject,
  WatchResult,
  WriteResult,
} from '../../../protocol/object-store/port.js';
import {
  ProtocolFailure,
  describeProtocolError,
  toProtocolError,
} from '../../../protocol/errors.js';
import type { RelayAnswer } from '../../../protocol/peer/relay-codec.js';
import { type ReaderPolicy, readerFor } from '../../../state/routing/store-readers.js';
import type { MemberUpdate } from '../../../state/membership.js';
import type { ObjectMirrors } from './object-mirrors.js';
import type { RelayClient } from './relay-client.js';
import type { RelayServer } from './relay-server.js';

/** How the store is followed. Times in milliseconds. */
export interface RelaySettings extends ReaderPolicy {
  /** Longest wait of a watch in a group that follows through readers. */
  readonly watchMs: number;
  /**
   * A relayed proof older than this is not taken from a reader. More than two watches: a proof counts
   * from when its watch began and is renewed when the next one has ended.
   */
  readonly freshMs: number;
}

/** The group, as far as the relay needs it. */
export interface RelayGroup {
  /** Working routers, this one included. */
  readonly working: readonly MemberUpdate[];
  /** Relay addresses to ask before any member is known. */
  readonly seeds: readonly string[];
}

/** What the relay works with. */
export interface RelayParts {
  readonly store: ObjectStorePort;
  readonly mirrors: ObjectMirrors;
  readonly client: RelayClient;
  readonly server: RelayServer;
  readonly group: RelayGroup;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Results whose proof is always told. */
type ProvenList = ObjectList & { readonly provenMs: number };
type ProvenResult = Exclude<WatchResult, { kind: 'events' }> | ProvenChanges;
type ProvenChanges = Extract<WatchResult, { kind: 'events' }> & { readonly provenMs: number };

/** A reader that did not answer well is left alone for this long. */
const AVOID_MS = 3_000;
/** How long another router may hold a query that stands in for a failed watch. */
const STAND_IN_WAIT_MS = 400;
/** How much older than a whole watch a stand-in's proof may be. */
const STAND_IN_SLACK_MS = 1_000;
/** Routers asked for a whole kind while the store can't be read. */
const MAXIMUM_LIST_ASKS = 3;

/** The store port of one router. */
export class RelayedObjectStore implements ObjectStorePort {
  private readonly avoidedUntilMs = new Map<string, number>();

  constructor(
    private readonly own: MemberUpdate,
    private readonly settings: RelaySettings,
    private readonly parts: RelayParts,
  ) {}

  async list(kind: string): Promise<ProvenList> {
    const list = await this.listAnyway(kind);
    this.parts.mirrors.of(kind).takeList(list.objects, list.revision, list.provenMs);
    this.parts.server.noteChange(kind);
    return list;
  }

  async watch(kind: string, revision: number, waitMs: number): Promise<ProvenResult> {
    const reader = this.reader();
    const result = reader
      ? await this.watchThrough(reader, kind, revision, waitMs)
      : await this.watchDirectly(kind, revision, waitMs);
    if (result.kind === 'events') {
      this.parts.mirrors.of(kind).takeChanges(result.events, result.revision, result.provenMs);
      if (result.events.length > 0) this.parts.server.noteChange(kind);
    }
    return result;
  }

  read(kind: string, name: string): Promise<StoredObject | undefined> {
    return this.parts.store.read(kind, name);
  }

  create(kind: string, name: string, spec: unknown): Promise<WriteResult> {
    return this.parts.store.create(kind, name, spec);
  }

  replace(kind: string, name: string, spec: unknown, revision: number): Promise<WriteResult> {
    return this.parts.store.replace(kind, name, spec, revision);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private get isLargeGroup(): boolean {
    return this.parts.group.working.length > this.settings.directGroupSize;
  }

  /** The reader to follow through; undefined where this router reads the store itself. */
  private reader(): MemberUpdate | undefined {
    const isAvoided = (nodeId: string): boolean =>
      this.now < (this.avoidedUntilMs.get(nodeId) ?? -Infinity);
    return readerFor(this.own, this.parts.group.working, this.settings, isAvoided);
  }

  private async watchThrough(
    reader: MemberUpdate,
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<ProvenResult> {
    const heldMs = Math.min(waitMs, this.settings.watchMs);
    try {
      return await this.ask(reader, kind, revision, heldMs, this.settings.freshMs);
    } catch (cause) {
      this.avoidedUntilMs.set(reader.nodeId, this.now + AVOID_MS);
      this.logChangeOfWay('relay_lost', kind, reader.nodeId, cause);
      return this.watchStore(kind, revision, heldMs);
    }
  }

  private async watchDirectly(
    kind: string,
    revision: number,
    waitMs: number,
  ): Promise<ProvenResult> {
    const limitMs = this.isLargeGroup ? Math.min(waitMs, this.settings.watchMs) : waitMs;
    try {
      return await this.watchStore(kind, revision, limitMs);
    } catch (cause) {
      const peer = this.standIn();
      if (!peer) throw cause;
      this.logChangeOfWay('store_read_through_peer', kind, peer.nodeId, cause);
      const oldestMs = limitMs + STAND_IN_SLACK_MS;
      return this.ask(peer, kind, revision, STAND_IN_WAIT_MS, oldestMs).catch(() => {
        throw cause;
      });
    }
  }

  private async watchStore(kind: string, revision: number, waitMs: number): Promise<ProvenResult> {
    const beganMs = this.now;
    const result = await this.parts.store.watch(kind, revision, waitMs);
    return result.kind === 'events' ? { ...result, provenMs: beganMs } : result;
  }

  /** Another router to ask while this one has no way to the store: a different one each time. */
  private standIn(): MemberUpdate | undefined {
    const others = this.parts.group.working.filter(({ nodeId }) => nodeId !== this.own.nodeId);
    const turn = Math.floor(this.now / STAND_IN_WAIT_MS);
    return others[turn % Math.max(1, others.length)];
  }

  /** One query; rejects where the answer is too old or from behind. */
  private async ask(
    peer: MemberUpdate,
    kind: string,
    revision: number,
    waitMs: number,
    oldestMs: number,
  ): Promise<ProvenResult> {
    const askedMs = this.now;
    const answer = await this.parts.client.query(peer.gossipAddress, kind, revision, waitMs);
    const isBehind = answer.revision < revision;
    if (isBehind || answer.proofAgeMs > oldestMs) throw staleAnswer(peer.gossipAddress, answer);
    if (!answer.isKnown) return { kind: 'history-gone' };
    return {
      kind: 'events',
      events: answer.events,
      revision: answer.revision,
      provenMs: askedMs + answer.heldMs - answer.proofAgeMs,
    };
  }

  /** The store's list, or another router's while the store can't be read. */
  private async listAnyway(kind: string): Promise<ProvenList> {
    const beganMs = this.now;
    try {
      const list = await this.parts.store.list(kind);
      return { ...list, provenMs: beganMs };
    } catch (cause) {
      const list = await this.listFromPeers(kind);
      if (!list) throw cause;
      this.logChangeOfWay('store_read_through_peer', kind, 'any', cause);
      return list;
    }
  }

  /** The newest of the first few answers. */
  private async listFromPeers(kind: string): Promise<ProvenList | undefined> {
    const askedMs = this.now;
    const asked = this.listSources().map((address) =>
      this.parts.client.query(address, kind, 0, 0).catch(() => undefined),
    );
    const answers = (await Promise.all(asked)).filter((answer) => answer?.isKnown);
    const newest = answers.reduce(
      (best, each) => (best && each && best.revision >= each.revision ? best : each),
      undefined,
    );
    if (!newest) return undefined;
    const objects = newest.events.map((event) => event.object);
    return { objects, revision: newest.revision, provenMs: askedMs - newest.proofAgeMs };
  }

  private listSources(): string[] {
    const { working, seeds } = this.parts.group;
    const members = working.map((member) => member.gossipAddress);
    const known = new Set([...seeds, ...members]);
    known.delete(this.own.gossipAddress);
    return [...known].slice(0, MAXIMUM_LIST_ASKS);
  }

  private logChangeOfWay(event: string, kind: string, peer: string, cause: unknown): void {
    const reason = describeProtocolError(toProtocolError(cause, 'store'));
    this.parts.logger.warn(event, { kind, peer, reason });
  }
}

function staleAnswer(address: string, answer: RelayAnswer): ProtocolFailure {
  const reason = `proof of revision ${answer.revision} is ${answer.proofAgeMs} ms old`;
  return new ProtocolFailure({ kind: 'interrupted', address, reason });
}
