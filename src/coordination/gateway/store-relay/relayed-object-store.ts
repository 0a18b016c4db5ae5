/**
 * The store as a router of a group sees it: a few routers read it themselves, the others follow it
 * through one of these; where the chosen way fails, the other one is tried.
 *
 * What is relayed carries its proof: the age of the call to the store that found the revision current.
 *
 * Where no reader has a recent proof the store is taken to be out for the whole group. Then the readers
 * go on trying, the others ask readers and other routers, and only now and then one of them tries the
 * store itself: an outage costs fewer calls than calm, and one router that gets through is found by all.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import { type RandomSource, randomInteger } from '../../../runtime/random.js';
import type {
  ListFreshness,
  ObjectStorePort,
  ReadResult,
  WriteResult,
} from '../../../protocol/object-store/port.js';
import type { StorePosition } from '../../../runtime/store-position.js';
import { describeProtocolError, toProtocolError } from '../../../protocol/errors.js';
import type { MemberUpdate } from '../../../state/membership.js';
import type { StoreEras } from '../../../state/routing/store-eras.js';
import type { ReaderPolicy } from '../../../state/routing/store-readers.js';
import type { ObjectMirrors } from './object-mirrors.js';
import {
  type PeerAnswer,
  PeerQueries,
  type ProvenList,
  type ProvenResult,
  storeIsOut,
} from './peer-queries.js';
import { AVOID_MS, ReaderChoice, type RelayGroup } from './reader-choice.js';
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

/** What the relay works with. */
export interface RelayParts {
  readonly store: ObjectStorePort;
  readonly mirrors: ObjectMirrors;
  readonly client: RelayClient;
  readonly server: RelayServer;
  readonly group: RelayGroup;
  /** Notes the era of each answer. */
  readonly eras: StoreEras;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** How long another router may hold a query that replaces a failed watch. */
const PEER_WAIT_MS = 400;
/** How much older than a whole watch the proof of such a router may be. */
const PEER_SLACK_MS = 1_000;
/** For this long after its start a router's watches are as short as those of a reader. */
const YOUNG_MS = 3_000;
/** Wait of a probe, and of the first watch after a failure or a list that may be old. */
const FIRST_PROOF_WAIT_MS = 1;
/**
 * Routers of the whole group that try the store at one round of attempts, in the mean, while it is out
 * for the readers. Followers make some two rounds a second, so that is a few calls a second for each
 * kind, whatever the size of the group.
 */
const PROBES_PER_ROUND = 1;
/** A proof that is newer by less than this is no progress that is worth another question at once. */
const PROGRESS_MS = 50;
/** Routers asked for a whole kind while the store can't be read. */
const MAXIMUM_LIST_ASKS = 3;

/** The store port of one router. */
export class RelayedObjectStore implements ObjectStorePort {
  private readonly choice: ReaderChoice;
  private readonly peers: PeerQueries;
  private readonly openedMs: number;
  /** Kinds whose last watch at the store was not answered, or is not yet. */
  private readonly failedKinds = new Set<string>();
  /** When a call of this router's own was last answered by the store. */
  private storeAnsweredMs = -Infinity;

  constructor(
    private readonly own: MemberUpdate,
    private readonly settings: RelaySettings,
    private readonly parts: RelayParts,
  ) {
    const { client, group, clock } = parts;
    this.choice = new ReaderChoice(own, settings, group, clock);
    this.peers = new PeerQueries(client, settings.freshMs, clock);
    this.openedMs = clock.now();
  }

  async list(kind: string, freshness: ListFreshness): Promise<ProvenList> {
    const list = (await this.listFromReader(kind)) ?? (await this.listAnyway(kind, freshness));
    this.noteEra(list.position.era);
    this.parts.mirrors.of(kind).takeList(list.objects, list.position, list.proven);
    this.parts.server.noteChange(kind);
    return list;
  }

  async watch(kind: string, position: StorePosition, waitMs: number): Promise<ProvenResult> {
    const mirror = this.parts.mirrors.of(kind);
    const result = await this.watchBestWay(kind, position, waitMs);
    if (result.kind === 'events') {
      const wasProven = mirror.isProven;
      this.noteEra(result.position.era);
      mirror.takeChanges(result.events, result.position, result.proven);
      if (!wasProven || result.events.length > 0) this.parts.server.noteChange(kind);
    }
    return result;
  }

  async read(kind: string, name: string): Promise<ReadResult> {
    return this.noteEraOf(await this.parts.store.read(kind, name));
  }

  async create(kind: string, name: string, spec: unknown): Promise<WriteResult> {
    return this.noteEraOf(await this.parts.store.create(kind, name, spec));
  }

  async replace(
    kind: string,
    name: string,
    spec: unknown,
    position: StorePosition,
  ): Promise<WriteResult> {
    return this.noteEraOf(await this.parts.store.replace(kind, name, spec, position));
  }

  remove(kind: string, name: string): Promise<void> {
    return this.parts.store.remove(kind, name);
  }

  private noteEra(era: number): void {
    this.parts.eras.note(era, this.now);
  }

  private noteEraOf<Result extends { readonly era: number }>(result: Result): Result {
    this.noteEra(result.era);
    return result;
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private watchBestWay(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const { reader } = this.choice;
    if (reader) return this.watchThrough(reader, kind, position, waitMs);
    if (!this.choice.isStoreOut) return this.watchDirectly(kind, position, waitMs);
    // A store that answered this router just now is followed by it until a reader has a recent proof.
    if (this.now - this.storeAnsweredMs < AVOID_MS) {
      return this.watchStore(kind, position, Math.min(waitMs, this.settings.watchMs));
    }
    if (this.mayProbe()) return this.probe(kind, position, waitMs);
    return this.askAnyone(kind, position);
  }

  private async watchThrough(
    reader: MemberUpdate,
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const heldMs = Math.min(waitMs, this.settings.watchMs);
    let answer: PeerAnswer;
    try {
      answer = await this.peers.changes(reader, kind, position, heldMs);
    } catch (cause) {
      this.choice.noteSilent(reader);
      this.logChangeOfWay('relay_lost', kind, reader.nodeId, cause);
      return this.watchStore(kind, position, heldMs);
    }
    if (answer.isRecent) return answer.result;
    this.choice.noteOutdated(reader);
    this.parts.logger.warn('relay_outdated', {
      kind,
      peer: reader.nodeId,
      proof_age_ms: Math.round(answer.proofAgeMs),
    });
    // An old proof may still be newer than the own one; then it is used, and the next question goes on.
    if (this.isProgress(kind, answer.result)) return answer.result;
    return this.watchBestWay(kind, position, waitMs);
  }

  /** Only as many routers try a store that is out as are needed to find it back soon. */
  private mayProbe(): boolean {
    const followers = this.parts.group.working.length - this.choice.readers.length;
    return this.parts.random.next() < PROBES_PER_ROUND / Math.max(1, followers);
  }

  private async probe(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const limitMs = Math.min(waitMs, FIRST_PROOF_WAIT_MS);
    const result = await this.watchStore(kind, position, limitMs);
    this.parts.logger.info('store_probe_answered', { kind });
    return result;
  }

  /** A reader or any other router, by turns of chance: one of them may have got through. */
  private async askAnyone(kind: string, position: StorePosition): Promise<ProvenResult> {
    const { random } = this.parts;
    const choices = random.next() < 0.5 ? this.choice.readers : this.choice.others;
    const peer = choices[randomInteger(random, Math.max(1, choices.length))];
    if (!peer) throw storeIsOut('no router to ask');
    const { result, isRecent, proofAgeMs } = await this.peers.changes(peer, kind, position, 0);
    if (isRecent) this.choice.noteRecent(peer);
    if (isRecent || this.isProgress(kind, result)) return result;
    throw storeIsOut(`proof of ${peer.nodeId} is ${Math.round(proofAgeMs)} ms old`);
  }

  /** Whether a result brings changes or a newer proof. */
  private isProgress(kind: string, result: ProvenResult): boolean {
    if (result.kind !== 'events') return false;
    const now = this.parts.clock.elapsed();
    const proofAgeMs = this.parts.mirrors.of(kind).proofAgeMs(now);
    return result.events.length > 0 || now.since(result.proven) < proofAgeMs - PROGRESS_MS;
  }

  private async watchDirectly(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    // A router that has just started may not have heard of its group yet.
    const isLargeOrYoung = this.choice.isLargeGroup || this.now - this.openedMs < YOUNG_MS;
    const limitMs = isLargeOrYoung ? Math.min(waitMs, this.settings.watchMs) : waitMs;
    try {
      return await this.watchStore(kind, position, limitMs);
    } catch (cause) {
      const peer = this.nextPeer();
      if (!peer) throw cause;
      this.logChangeOfWay('store_read_through_peer', kind, peer.nodeId, cause);
      const oldestMs = limitMs + PEER_SLACK_MS;
      const asked = this.peers.changes(peer, kind, position, PEER_WAIT_MS);
      // A router that does not answer changes nothing: the failure of the store is reported.
      const answer = await asked.catch(() => undefined);
      if (!answer || answer.proofAgeMs > oldestMs) throw cause;
      // What is known here does not lead to what the other router knows: the kind must be listed anew.
      if (answer.result.kind === 'history-gone') return answer.result;
      // What the other router knows through this one is no way to the store.
      if (!this.isProgress(kind, answer.result)) throw cause;
      return answer.result;
    }
  }

  private async watchStore(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const began = this.parts.clock.elapsed();
    // After a failure, or a list that may be old, the first answer proves at once what is current.
    const needsProof = this.failedKinds.has(kind) || !this.parts.mirrors.of(kind).isProven;
    const limitMs = needsProof ? Math.min(waitMs, FIRST_PROOF_WAIT_MS) : waitMs;
    this.failedKinds.add(kind);
    const result = await this.parts.store.watch(kind, position, limitMs);
    this.failedKinds.delete(kind);
    this.storeAnsweredMs = this.now;
    return result.kind === 'events' ? { ...result, proven: began } : result;
  }

  /** Another router to ask while this one has no way to the store: a different one each time. */
  private nextPeer(): MemberUpdate | undefined {
    const { others } = this.choice;
    const turn = Math.floor(this.now / PEER_WAIT_MS);
    return others[turn % Math.max(1, others.length)];
  }

  /** A reader's list, where this router follows through one whose proof is recent. */
  private async listFromReader(kind: string): Promise<ProvenList | undefined> {
    const { reader } = this.choice;
    if (!reader) return undefined;
    try {
      const list = await this.peers.recentList(reader, kind);
      // The reader may not have noticed yet that the store was restored.
      const isBehind = list?.position.isBefore(this.parts.mirrors.of(kind).position);
      return isBehind ? undefined : list;
    } catch (cause) {
      this.choice.noteSilent(reader);
      this.logChangeOfWay('relay_lost', kind, reader.nodeId, cause);
      return undefined;
    }
  }

  /** The store's list, or another router's while the store can't be read. */
  private async listAnyway(kind: string, freshness: ListFreshness): Promise<ProvenList> {
    const began = this.parts.clock.elapsed();
    try {
      const list = await this.parts.store.list(kind, freshness);
      this.storeAnsweredMs = this.now;
      return { ...list, proven: list.proven ?? began };
    } catch (cause) {
      const list = await this.peers.newestList(this.listSources(), kind);
      if (!list) throw cause;
      this.logChangeOfWay('store_read_through_peer', kind, 'any', cause);
      return list;
    }
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
