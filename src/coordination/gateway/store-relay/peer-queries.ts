/** Questions to other routers about the store, and what their answers prove. */
import type { Clock } from '../../../runtime/clock.js';
import { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import { StoreEra, type StorePosition } from '../../../runtime/store-position.js';
import type { ObjectList, WatchResult } from '../../../protocol/object-store/port.js';
import { ProtocolFailure } from '../../../protocol/errors.js';
import type { RelayAnswer } from '../../../protocol/peer/relay-codec.js';
import type { MemberUpdate } from '../../../state/membership.js';
import type { RelayClient } from './relay-client.js';

/** Results that always carry the moment at which they were current. */
export type ProvenList = ObjectList & { readonly proven: ElapsedInstant };
export type ProvenResult = Exclude<WatchResult, { kind: 'events' }> | ProvenChanges;
type ProvenChanges = Extract<WatchResult, { kind: 'events' }> & { readonly proven: ElapsedInstant };

/** What another router answered, and how old its proof was when it answered. */
export interface PeerAnswer {
  readonly result: ProvenResult;
  readonly proofAgeMs: number;
  /** Whether the proof is young enough for that router to be followed. */
  readonly isRecent: boolean;
}

/** Asks other routers. */
export class PeerQueries {
  /** @param freshMs a proof older than this is not recent */
  constructor(
    private readonly client: RelayClient,
    private readonly freshMs: number,
    private readonly clock: Clock,
  ) {}

  /**
   * Asks for the changes of a kind after a position. Rejects with a `ProtocolFailure` where no answer
   * comes, where the other router knows less than this one, or where its build sends no era: it may not have
   * noticed that the store was restored.
   */
  async changes(
    peer: MemberUpdate,
    kind: string,
    position: StorePosition,
    waitMs: number,
  ): Promise<PeerAnswer> {
    const asked = this.clock.elapsed();
    const answer = await this.client.query(peer.gossipAddress, kind, position, waitMs);
    if (answer.position.era === StoreEra.Unknown) throw storeIsOut(`${peer.nodeId} sends no era`);
    if (answer.position.isBefore(position)) throw storeIsOut(`${peer.nodeId} is behind`);
    const { proofAgeMs, events } = answer;
    const isRecent = proofAgeMs <= this.freshMs;
    if (!answer.isKnown) return { result: { kind: 'history-gone' }, proofAgeMs, isRecent };
    // No delay on the way makes a proof seem younger: its age counts from when the question left.
    const proven = asked.plus(answer.heldMs - proofAgeMs);
    const { position: newest } = answer;
    const result = { kind: 'events' as const, events, position: newest, proven, isRelayed: true };
    return { result, proofAgeMs, isRecent };
  }

  /**
   * A whole kind from one router; undefined where its proof is not recent or its build sends no era. Rejects
   * without an answer.
   */
  async recentList(peer: MemberUpdate, kind: string): Promise<ProvenList | undefined> {
    const asked = this.clock.elapsed();
    const answer = await this.client.query(peer.gossipAddress, kind, undefined, 0);
    if (!answer.isKnown || answer.proofAgeMs > this.freshMs) return undefined;
    if (answer.position.era === StoreEra.Unknown) return undefined;
    return listOf(answer, asked);
  }

  /** The newest list of several routers, however old; undefined where none of them knows the kind. */
  async newestList(addresses: readonly string[], kind: string): Promise<ProvenList | undefined> {
    const asked = this.clock.elapsed();
    // A router that does not answer is one of several; the others decide.
    const answering = addresses.map((address) =>
      this.client.query(address, kind, undefined, 0).catch(() => undefined),
    );
    const answers = (await Promise.all(answering)).filter((answer) => answer?.isKnown);
    const newest = answers.reduce(
      (best, each) => (best && each?.position.isBefore(best.position) ? best : each),
      undefined,
    );
    return newest && listOf(newest, asked);
  }
}

/** The failure of a call that no router could answer in the store's place. */
export function storeIsOut(reason: string): ProtocolFailure {
  return new ProtocolFailure({ kind: 'interrupted', address: 'store', reason });
}

function listOf(answer: RelayAnswer, asked: ElapsedInstant): ProvenList {
  const objects = answer.events.map((event) => event.object);
  const { position, proofAgeMs } = answer;
  // A build without eras does not notice whether the store has been restored since.
  const isProof = position.era !== StoreEra.Unknown;
  const proven = isProof ? asked.plus(-proofAgeMs) : ElapsedInstant.never;
  return { objects, position, proven, isRelayed: true };
}
