/**
 * Object store port with a relay. In a large group a few routers, the readers, read the store
 * directly and the others follow it through a reader. If the preferred source fails, the other one
 * is tried.
 *
 * Relayed results include a proof: the age of the call to the store that found the position
 * current.
 *
 * If no reader has a recent proof, the store is considered unavailable for the whole group. Readers
 * then keep retrying, the other routers query readers and each other, and only a few of them probe
 * the store. This limits the calls during an outage and spreads the state of any router that
 * reaches the store.
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
  type PeerResponse,
  PeerQueries,
  type ProvenList,
  type ProvenResult,
  storeUnavailable,
} from './peer-queries.js';
import { READER_COOLDOWN_MS, ReaderChoice, type RelayGroup } from './reader-choice.js';
import type { RelayClient } from './relay-client.js';
import type { RelayServer } from './relay-server.js';

/** Settings for following the store. Times in milliseconds. */
export interface RelaySettings extends ReaderPolicy {
  /** Longest wait of a watch in a group with readers. */
  readonly watchMs: number;
  /**
   * Maximum age of a relayed proof. Must exceed two watches: a proof counts from the start of its
   * watch and is renewed at the end of the next one.
   */
  readonly maximumProofAgeMs: number;
}

/** Dependencies of {@link RelayedObjectStore}. */
export interface RelayParts {
  readonly store: ObjectStorePort;
  readonly mirrors: ObjectMirrors;
  readonly client: RelayClient;
  readonly server: RelayServer;
  readonly group: RelayGroup;
  /** Records the era of each response. */
  readonly eras: StoreEras;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Wait of a query to another router that replaces a failed watch. */
const PEER_WAIT_MS = 400;
/** Allowed age of that router's proof beyond the duration of a watch. */
const PEER_PROOF_SLACK_MS = 1_000;
/** Time after the start during which a router's watches are as short as a reader's. */
const STARTUP_MS = 3_000;
/** Wait of a probe, and of the first watch after a failure or a possibly outdated list. */
const PROBE_WAIT_MS = 1;
/**
 * Mean number of followers in the whole group that probe the store per round of retries while it is
 * unavailable to the readers. Bounds the calls during an outage, whatever the size of the group.
 */
const PROBES_PER_ROUND = 1;
/** A proof that is newer by less than this does not count as progress. */
const MINIMUM_PROGRESS_MS = 50;
/** Routers queried for a list while the store is unavailable. */
const MAXIMUM_LIST_QUERIES = 3;

/** Store port of one router that chooses between the store and other routers. */
export class RelayedObjectStore implements ObjectStorePort {
  private readonly choice: ReaderChoice;
  private readonly peers: PeerQueries;
  private readonly openedMs: number;
  /** Kinds whose last watch at the store failed or is still pending. */
  private readonly failedKinds = new Set<string>();
  /** Time of the last response of the store to this router itself. */
  private lastStoreResponseMs = -Infinity;

  constructor(
    private readonly own: MemberUpdate,
    private readonly settings: RelaySettings,
    private readonly parts: RelayParts,
  ) {
    const { client, group, clock } = parts;
    this.choice = new ReaderChoice(own, settings, group, clock);
    this.peers = new PeerQueries(client, settings.maximumProofAgeMs, clock);
    this.openedMs = clock.now();
  }

  async list(kind: string, freshness: ListFreshness): Promise<ProvenList> {
    const list =
      (await this.listFromReader(kind)) ?? (await this.listFromStoreOrPeers(kind, freshness));
    this.recordEra(list.position.era);
    this.parts.mirrors.of(kind).applyList(list.objects, list.position, list.proven);
    this.parts.server.notifyChange(kind);
    return list;
  }

  async watch(kind: string, position: StorePosition, waitMs: number): Promise<ProvenResult> {
    const mirror = this.parts.mirrors.of(kind);
    const result = await this.watchPreferredSource(kind, position, waitMs);
    if (result.kind === 'events') {
      const wasProven = mirror.isProven;
      this.recordEra(result.position.era);
      mirror.applyChanges(result.events, result.position, result.proven);
      if (!wasProven || result.events.length > 0) this.parts.server.notifyChange(kind);
    }
    return result;
  }

  async read(kind: string, name: string): Promise<ReadResult> {
    return this.recordEraOf(await this.parts.store.read(kind, name));
  }

  async create(kind: string, name: string, spec: unknown): Promise<WriteResult> {
    return this.recordEraOf(await this.parts.store.create(kind, name, spec));
  }

  async replace(
    kind: string,
    name: string,
    spec: unknown,
    position: StorePosition,
  ): Promise<WriteResult> {
    return this.recordEraOf(await this.parts.store.replace(kind, name, spec, position));
  }

  remove(kind: string, name: string): Promise<void> {
    return this.parts.store.remove(kind, name);
  }

  private recordEra(era: number): void {
    this.parts.eras.observe(era, this.now);
  }

  private recordEraOf<Result extends { readonly era: number }>(result: Result): Result {
    this.recordEra(result.era);
    return result;
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private watchPreferredSource(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const { reader } = this.choice;
    if (reader) return this.watchThroughReader(reader, kind, position, waitMs);
    if (!this.choice.isStoreUnavailable) return this.watchDirectly(kind, position, waitMs);
    // This router reached the store recently, so it follows the store directly until a reader
    // recovers.
    if (this.now - this.lastStoreResponseMs < READER_COOLDOWN_MS) {
      return this.watchStore(kind, position, Math.min(waitMs, this.settings.watchMs));
    }
    if (this.shouldProbe()) return this.probe(kind, position, waitMs);
    return this.queryRandomPeer(kind, position);
  }

  private async watchThroughReader(
    reader: MemberUpdate,
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const holdMs = Math.min(waitMs, this.settings.watchMs);
    let response: PeerResponse;
    try {
      response = await this.peers.changes(reader, kind, position, holdMs);
    } catch (cause) {
      this.choice.noteUnresponsive(reader);
      this.logSourceChange('relay_lost', kind, reader.nodeId, cause);
      return this.watchStore(kind, position, holdMs);
    }
    if (response.isRecent) return response.result;
    this.choice.noteOutdated(reader);
    this.parts.logger.warn('relay_outdated', {
      kind,
      peer: reader.nodeId,
      proof_age_ms: Math.round(response.proofAgeMs),
    });
    // An outdated proof may still be newer than the own one.
    if (this.isProgress(kind, response.result)) return response.result;
    return this.watchPreferredSource(kind, position, waitMs);
  }

  /** Random decision that lets only a few routers probe an unavailable store. */
  private shouldProbe(): boolean {
    const followers = this.parts.group.working.length - this.choice.readers.length;
    return this.parts.random.next() < PROBES_PER_ROUND / Math.max(1, followers);
  }

  private async probe(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const limitMs = Math.min(waitMs, PROBE_WAIT_MS);
    const result = await this.watchStore(kind, position, limitMs);
    this.parts.logger.info('store_probe_answered', { kind });
    return result;
  }

  /** Queries a random reader or other router, in case one of them has reached the store. */
  private async queryRandomPeer(kind: string, position: StorePosition): Promise<ProvenResult> {
    const { random } = this.parts;
    const choices = random.next() < 0.5 ? this.choice.readers : this.choice.others;
    const peer = choices[randomInteger(random, Math.max(1, choices.length))];
    if (!peer) throw storeUnavailable('no other router to query');
    const { result, isRecent, proofAgeMs } = await this.peers.changes(peer, kind, position, 0);
    if (isRecent) this.choice.noteRecent(peer);
    if (isRecent || this.isProgress(kind, result)) return result;
    throw storeUnavailable(`proof of ${peer.nodeId} is ${Math.round(proofAgeMs)} ms old`);
  }

  /** Whether a result contains changes or a newer proof. */
  private isProgress(kind: string, result: ProvenResult): boolean {
    if (result.kind !== 'events') return false;
    const now = this.parts.clock.elapsed();
    const proofAgeMs = this.parts.mirrors.of(kind).proofAgeMs(now);
    return result.events.length > 0 || now.since(result.proven) < proofAgeMs - MINIMUM_PROGRESS_MS;
  }

  private async watchDirectly(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    // A router that has just started may not have discovered its group yet.
    const isLargeOrStarting = this.choice.isLargeGroup || this.now - this.openedMs < STARTUP_MS;
    const limitMs = isLargeOrStarting ? Math.min(waitMs, this.settings.watchMs) : waitMs;
    try {
      return await this.watchStore(kind, position, limitMs);
    } catch (cause) {
      const peer = this.nextPeer();
      if (!peer) throw cause;
      this.logSourceChange('store_read_through_peer', kind, peer.nodeId, cause);
      const maximumProofAgeMs = limitMs + PEER_PROOF_SLACK_MS;
      const query = this.peers.changes(peer, kind, position, PEER_WAIT_MS);
      // If the other router does not respond either, the failure of the store is reported.
      const response = await query.catch(() => undefined);
      if (!response || response.proofAgeMs > maximumProofAgeMs) throw cause;
      // There is no history from the own position to that of the other router: the kind must be
      // listed.
      if (response.result.kind === 'history-gone') return response.result;
      // The other router may only know what this router relayed to it.
      if (!this.isProgress(kind, response.result)) throw cause;
      return response.result;
    }
  }

  private async watchStore(
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<ProvenResult> {
    const startedAt = this.parts.clock.elapsed();
    // After a failure or a possibly outdated list, a short watch proves quickly what is current.
    const needsProof = this.failedKinds.has(kind) || !this.parts.mirrors.of(kind).isProven;
    const limitMs = needsProof ? Math.min(waitMs, PROBE_WAIT_MS) : waitMs;
    this.failedKinds.add(kind);
    const result = await this.parts.store.watch(kind, position, limitMs);
    this.failedKinds.delete(kind);
    this.lastStoreResponseMs = this.now;
    return result.kind === 'events' ? { ...result, proven: startedAt } : result;
  }

  /** Another router to query while this router can't reach the store; rotates over time. */
  private nextPeer(): MemberUpdate | undefined {
    const { others } = this.choice;
    const rotation = Math.floor(this.now / PEER_WAIT_MS);
    return others[rotation % Math.max(1, others.length)];
  }

  /** The list of this router's reader; undefined without a reader or a recent proof. */
  private async listFromReader(kind: string): Promise<ProvenList | undefined> {
    const { reader } = this.choice;
    if (!reader) return undefined;
    try {
      const list = await this.peers.recentList(reader, kind);
      // The reader may not have noticed yet that the store was restored.
      const isBehind = list?.position.isBefore(this.parts.mirrors.of(kind).position);
      return isBehind ? undefined : list;
    } catch (cause) {
      this.choice.noteUnresponsive(reader);
      this.logSourceChange('relay_lost', kind, reader.nodeId, cause);
      return undefined;
    }
  }

  /** The store's list, or the newest list of other routers while the store is unavailable. */
  private async listFromStoreOrPeers(kind: string, freshness: ListFreshness): Promise<ProvenList> {
    const startedAt = this.parts.clock.elapsed();
    try {
      const list = await this.parts.store.list(kind, freshness);
      this.lastStoreResponseMs = this.now;
      return { ...list, proven: list.proven ?? startedAt };
    } catch (cause) {
      const list = await this.peers.newestList(this.listPeerAddresses(), kind);
      if (!list) throw cause;
      this.logSourceChange('store_read_through_peer', kind, 'any', cause);
      return list;
    }
  }

  private listPeerAddresses(): string[] {
    const { working, seeds } = this.parts.group;
    const members = working.map((member) => member.gossipAddress);
    const known = new Set([...seeds, ...members]);
    known.delete(this.own.gossipAddress);
    return [...known].slice(0, MAXIMUM_LIST_QUERIES);
  }

  private logSourceChange(event: string, kind: string, peer: string, cause: unknown): void {
    const reason = describeProtocolError(toProtocolError(cause, 'store'));
    this.parts.logger.warn(event, { kind, peer, reason });
  }
}
