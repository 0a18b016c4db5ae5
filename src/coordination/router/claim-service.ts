/**
 * Claims non-repeatable requests at a majority of three routers in different zones, and decides
 * the claims of other routers from the local claim table.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock, Timer } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import {
  type ClaimReply,
  ClaimReplySchema,
  type ClaimRequest,
  ClaimRequestSchema,
  ClaimVerdict as WireVerdict,
  type RecordOutcome,
  RecordOutcomeSchema,
  RecordedOutcomeSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody, PeerChannel } from '../../protocol/peer/peer-channel.js';
import {
  ClaimTable,
  type ClaimVerdict,
  type FirstUse,
  type RecordedOutcome,
} from '../../state/claim-table.js';
import type { MemberUpdate } from '../../state/membership.js';
import { rankByRendezvous } from '../../state/rendezvous.js';

/** Number of replicas of each claim. */
const CLAIM_REPLICAS = 3;
const MAJORITY = 2;
/** Maximum wait for the replicas' replies. */
const CLAIM_TIMEOUT_MS = 600;

/** Result of a claim. */
export type ClaimResult =
  /** Only this claimant may dispatch the request. */
  | { readonly kind: 'granted' }
  /** Another claimant may have dispatched the request. */
  | { readonly kind: 'held' }
  | { readonly kind: 'settled'; readonly outcome: RecordedOutcome }
  /** No majority replied, or replicas abstained. */
  | { readonly kind: 'no-majority' };

/** The router group, as needed for claims. */
export interface ClaimGroup {
  /** All members, including recently dead ones, so that replica sets stay stable. */
  members(): readonly MemberUpdate[];
  /** False until a complete member table was received: a partial one gives wrong replicas. */
  isViewComplete(): boolean;
  send(nodeId: string, body: PeerBody): void;
}

interface Exchange {
  readonly verdicts: ClaimVerdict[];
  /** Number of replicas that have not replied yet. */
  pendingReplies: number;
  readonly resolve: (result: ClaimResult) => void;
  readonly timer: Timer;
}

/** Claims of one router, both as claimant and as replica. */
export class ClaimService {
  private readonly table: ClaimTable;
  private readonly exchanges = new Map<number, Exchange>();
  private nextExchange = 1;
  private claimantCount = 0;

  constructor(
    private readonly nodeId: string,
    private readonly group: ClaimGroup,
    private readonly clock: Clock,
    private readonly hasher: Hasher,
  ) {
    this.table = new ClaimTable(clock.wallNow(), () => clock.wallNow());
  }

  /** Creates a unique claimant, so that two calls at the same router can't both be granted. */
  createClaimant(): string {
    this.claimantCount += 1;
    return `${this.nodeId}/${this.clock.now()}/${this.claimantCount}`;
  }

  /** Requests the exclusive right to dispatch a request. */
  claim(requestId: string, claimant: string, firstUse: FirstUse): Promise<ClaimResult> {
    if (!this.group.isViewComplete()) return Promise.resolve({ kind: 'no-majority' });
    const replicas = this.replicasOf(requestId);
    const exchange = this.nextExchange;
    this.nextExchange += 1;
    const value = create(ClaimRequestSchema, {
      exchange,
      requestId,
      claimant,
      firstUseAtMs: BigInt(firstUse.atMs),
      firstUseProven: firstUse.proven,
    });
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(CLAIM_TIMEOUT_MS, () => this.conclude(exchange));
      this.exchanges.set(exchange, {
        verdicts: [],
        pendingReplies: replicas.length,
        resolve,
        timer,
      });
      for (const replica of replicas) {
        if (replica === this.nodeId) this.recordVerdict(exchange, this.decide(value));
        else this.group.send(replica, { case: 'claimRequest', value });
      }
    });
  }

  /** Sends the outcome of a request to the replicas. */
  recordOutcome(requestId: string, outcome: RecordedOutcome): void {
    this.sendToReplicas(
      create(RecordOutcomeSchema, {
        requestId,
        outcome: create(RecordedOutcomeSchema, outcome),
      }),
    );
  }

  /** Releases a claim after it is proven that the request was not run. */
  release(requestId: string, claimant: string): void {
    this.sendToReplicas(create(RecordOutcomeSchema, { requestId, claimant }));
  }

  private sendToReplicas(value: RecordOutcome): void {
    for (const replica of this.replicasOf(value.requestId)) {
      if (replica === this.nodeId) this.applyOutcome(value);
      else this.group.send(replica, { case: 'recordOutcome', value });
    }
  }

  private applyOutcome(message: RecordOutcome): void {
    const { requestId, outcome, claimant } = message;
    if (outcome) this.table.recordOutcome(requestId, outcome, claimant);
    else this.table.release(requestId, claimant);
  }

  /** Handles the three claim messages; returns false for any other message. */
  handle(channel: PeerChannel, body: PeerBody): boolean {
    switch (body.case) {
      case 'claimRequest':
        channel.send({ case: 'claimReply', value: this.reply(body.value) });
        return true;
      case 'claimReply':
        this.recordVerdict(body.value.exchange, verdictOf(body.value));
        return true;
      case 'recordOutcome':
        this.applyOutcome(body.value);
        return true;
      default:
        return false;
    }
  }

  private decide(request: ClaimRequest): ClaimVerdict {
    const { requestId, claimant } = request;
    const firstUse = { atMs: Number(request.firstUseAtMs), proven: request.firstUseProven };
    return this.table.claim({ requestId, claimant, firstUse });
  }

  private reply(request: ClaimRequest): ClaimReply {
    const { exchange } = request;
    const verdict = this.decide(request);
    switch (verdict.kind) {
      case 'granted':
        return create(ClaimReplySchema, { exchange, verdict: WireVerdict.GRANTED });
      case 'held':
        return create(ClaimReplySchema, {
          exchange,
          verdict: WireVerdict.HELD,
          holder: verdict.holder,
        });
      case 'settled':
        return create(ClaimReplySchema, {
          exchange,
          verdict: WireVerdict.SETTLED,
          outcome: create(RecordedOutcomeSchema, verdict.outcome),
        });
      case 'abstained':
        return create(ClaimReplySchema, { exchange, verdict: WireVerdict.ABSTAINED });
    }
  }

  private recordVerdict(exchangeNumber: number, verdict: ClaimVerdict): void {
    const exchange = this.exchanges.get(exchangeNumber);
    if (!exchange) return;
    exchange.verdicts.push(verdict);
    exchange.pendingReplies -= 1;
    const { kind } = resultOf(exchange.verdicts);
    // A majority of grants still overrides a single `held`.
    const decided = kind === 'granted' || kind === 'settled';
    if (decided || exchange.pendingReplies === 0) this.conclude(exchangeNumber);
  }

  private conclude(exchangeNumber: number): void {
    const exchange = this.exchanges.get(exchangeNumber);
    if (!exchange) return;
    this.exchanges.delete(exchangeNumber);
    exchange.timer.cancel();
    exchange.resolve(resultOf(exchange.verdicts));
  }

  /** The three highest-ranked routers for the request, in different zones if there are enough. */
  private replicasOf(requestId: string): string[] {
    const members = new Map(this.group.members().map((member) => [member.nodeId, member]));
    const key = this.hasher.hashText(requestId, 0n);
    const ranked = rankByRendezvous(this.hasher, key, [...members.keys()]);
    const chosen: string[] = [];
    const zones = new Set<string>();
    for (const nodeId of ranked) {
      const zone = members.get(nodeId)?.zone ?? '';
      if (chosen.length >= CLAIM_REPLICAS || zones.has(zone)) continue;
      zones.add(zone);
      chosen.push(nodeId);
    }
    for (const nodeId of ranked) {
      if (chosen.length < CLAIM_REPLICAS && !chosen.includes(nodeId)) chosen.push(nodeId);
    }
    return chosen;
  }
}

/** Precedence: a recorded outcome, a majority of grants, any `held` verdict. */
function resultOf(verdicts: readonly ClaimVerdict[]): ClaimResult {
  const settled = verdicts.find((verdict) => verdict.kind === 'settled');
  if (settled) return settled;
  const granted = verdicts.filter((verdict) => verdict.kind === 'granted').length;
  if (granted >= MAJORITY) return { kind: 'granted' };
  if (verdicts.some((verdict) => verdict.kind === 'held')) return { kind: 'held' };
  return { kind: 'no-majority' };
}

function verdictOf(reply: ClaimReply): ClaimVerdict {
  switch (reply.verdict) {
    case WireVerdict.GRANTED:
      return { kind: 'granted' };
    case WireVerdict.HELD:
      return { kind: 'held', holder: reply.holder };
    case WireVerdict.SETTLED:
      return reply.outcome ? { kind: 'settled', outcome: reply.outcome } : { kind: 'abstained' };
    default:
      return { kind: 'abstained' };
  }
}
