/** Queries other routers about the store and evaluates the proofs in their responses. */
import type { Clock } from '../../../runtime/clock.js';
import { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import { StoreEra, type StorePosition } from '../../../runtime/store-position.js';
import type { ObjectList, WatchResult } from '../../../protocol/object-store/port.js';
import { ProtocolFailure } from '../../../protocol/errors.js';
import type { RelayResponse } from '../../../protocol/peer/relay-codec.js';
import type { MemberUpdate } from '../../../state/membership.js';
import type { RelayClient } from './relay-client.js';

/** Results that always include the time at which they were current. */
export type ProvenList = ObjectList & { readonly proven: ElapsedInstant };
export type ProvenResult = Exclude<WatchResult, { kind: 'events' }> | ProvenChanges;
type ProvenChanges = Extract<WatchResult, { kind: 'events' }> & { readonly proven: ElapsedInstant };

/** Response of another router. */
export interface PeerResponse {
  readonly result: ProvenResult;
  /** Age of the proof when the other router responded. */
  readonly proofAgeMs: number;
  /** Whether the proof is recent enough to follow the store through that router. */
  readonly isRecent: boolean;
}

export class PeerQueries {
  /** @param maximumProofAgeMs maximum age of a proof that counts as recent */
  constructor(
    private readonly client: RelayClient,
    private readonly maximumProofAgeMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Requests the changes of a kind after a position. Rejects with a `ProtocolFailure` if the other
   * router does not respond, is behind `position`, or sends no era and so may have missed that the
   * store was restored.
   */
  async changes(
    peer: MemberUpdate,
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<PeerResponse> {
    const queriedAt = this.clock.elapsed();
    const response = await this.client.query(peer.gossipAddress, kind, position, waitMs);
    if (response.position.era === StoreEra.Unknown)
      throw storeUnavailable(`${peer.nodeId} sends no store era`);
    if (response.position.isBefore(position))
      throw storeUnavailable(`${peer.nodeId} is behind this router`);
    const { proofAgeMs, events } = response;
    const isRecent = proofAgeMs <= this.maximumProofAgeMs;
    if (!response.isKnown) return { result: { kind: 'history-gone' }, proofAgeMs, isRecent };
    // Counted from when the query was sent, so that network delay never makes a proof seem newer.
    const proven = queriedAt.plus(response.heldMs - proofAgeMs);
    const { position: newest } = response;
    const result = { kind: 'events' as const, events, position: newest, proven, isRelayed: true };
    return { result, proofAgeMs, isRecent };
  }

  /**
   * Lists a kind from one router; undefined if its proof is not recent or it sends no era. Rejects
   * if the router does not respond.
   */
  async recentList(peer: MemberUpdate, kind: string): Promise<ProvenList | undefined> {
    const queriedAt = this.clock.elapsed();
    const response = await this.client.query(peer.gossipAddress, kind, undefined, 0);
    if (!response.isKnown || response.proofAgeMs > this.maximumProofAgeMs) return undefined;
    if (response.position.era === StoreEra.Unknown) return undefined;
    return toProvenList(response, queriedAt);
  }

  /** The newest list of several routers, however old; undefined if none has listed the kind. */
  async newestList(addresses: readonly string[], kind: string): Promise<ProvenList | undefined> {
    const queriedAt = this.clock.elapsed();
    // Routers that do not respond are ignored.
    const pending = addresses.map((address) =>
      this.client.query(address, kind, undefined, 0).catch(() => undefined),
    );
    const responses = (await Promise.all(pending)).filter((response) => response?.isKnown);
    const newest = responses.reduce(
      (best, each) => (best && each?.position.isBefore(best.position) ? best : each),
      undefined,
    );
    return newest && toProvenList(newest, queriedAt);
  }
}

/** The error of a call that neither the store nor another router could answer. */
export function storeUnavailable(reason: string): ProtocolFailure {
  return new ProtocolFailure({ kind: 'interrupted', address: 'store', reason });
}

function toProvenList(response: RelayResponse, queriedAt: ElapsedInstant): ProvenList {
  const objects = response.events.map((event) => event.object);
  const { position, proofAgeMs } = response;
  // A router version without eras does not notice that the store was restored.
  const isProof = position.era !== StoreEra.Unknown;
  const proven = isProof ? queriedAt.plus(-proofAgeMs) : ElapsedInstant.never;
  return { objects, position, proven, isRelayed: true };
}
