/**
 * Serves one operation of a plain service. A repeatable one is retried and may be hedged. One that
 * may not be repeated is claimed first, sent once, and afterwards only looked up.
 */
import { type Timer, sleep } from '../../runtime/clock.js';
import {
  type BackendAnswer,
  FENCED_REASON,
  SECOND_IDENTIFIER_SUFFIX,
  type InvocationResult,
} from '../../protocol/plain-backend/port.js';
import type { StartCall } from '../../protocol/peer/generated/peer_pb.js';
import type { FirstUse } from '../../state/claim-table.js';
import { backoffDelayMs } from '../../state/backoff.js';
import { RequestEvent, RequestLedger, RequestState } from '../../state/request-ledger.js';
import type { OperationPolicy, TenantParameters } from '../../state/template-set.js';
import type { CallFailure } from '../errors.js';
import type { BackendRecord } from './backend-table.js';
import type { CallEnded, RouterCall } from './call.js';
import type { CallOutput } from './call-output.js';
import type { RouterContext } from './router-context.js';

const MAXIMUM_ATTEMPTS = 3;
/** A hedged operation is sent a second time after this. */
const HEDGE_AFTER_MS = 60;
const UNAVAILABLE_RETRY_MS = 500;
const LOOKUP_PERIOD_MS = 100;
/** Time kept from the deadline for the answer to travel back. */
const ANSWER_MARGIN_MS = 20;

/** An operation at a router. */
export class OperationCall implements RouterCall {
  private readonly ledger: RequestLedger;
  private readonly deadlineAtMs: number;
  private readonly startedMs: number;
  private readonly excluded = new Set<string>();
  private deadlineTimer: Timer | undefined;
  /** The first identifier is closed at the back end. */
  private usesSecondIdentifier = false;

  constructor(
    private readonly start: StartCall,
    private readonly policy: OperationPolicy,
    private readonly parameters: TenantParameters,
    private readonly context: RouterContext,
    private readonly output: CallOutput,
    private readonly onEnded: CallEnded,
  ) {
    this.startedMs = context.clock.now();
    this.deadlineAtMs = this.startedMs + start.deadlineMs;
    this.ledger = new RequestLedger(start.earlierUnproven);
  }

  /** Begins; the call ends through its output. */
  run(): void {
    this.context.statistics.requests += 1;
    this.context.retryBudgetOf(this.start.tenant).earn(this.parameters.retry_share);
    this.deadlineTimer = this.context.clock.setTimer(this.start.deadlineMs, () =>
      this.failAtDeadline(),
    );
    const served = this.policy.repeatable ? this.serveRepeatable() : this.serveOnce();
    served.catch((error: unknown) => {
      this.context.logger.error('operation_fault', {
        request_id: this.start.requestId,
        reason: String(error),
      });
      this.fail({ kind: 'outcome-unknown', message: 'internal fault' });
    });
  }

  grantCredit(): void {
    // An operation has a single answer, which needs no credit.
  }

  cancel(): void {
    this.giveUp('cancelled');
  }

  abandon(): void {
    this.giveUp('abandoned');
  }

  private async serveRepeatable(): Promise<void> {
    for (let attempt = 1; !this.ledger.isSettled; attempt += 1) {
      const result = await this.invokeHedged();
      if (this.ledger.isSettled) return;
      if (!result) {
        this.failUnavailable('no back end can take it now');
        return;
      }
      if (result.kind === 'answered') {
        this.succeed(result.answer);
        return;
      }
      if (attempt >= MAXIMUM_ATTEMPTS || !this.maySpendRetry()) {
        this.failUnavailable(`the back end failed (${result.reason})`);
        return;
      }
      this.context.statistics.retries += 1;
      await sleep(this.context.clock, backoffDelayMs(this.context.random, attempt - 1));
    }
  }

  /** One attempt, with a second one beside it where the first is slow. */
  private invokeHedged(): Promise<InvocationResult | undefined> {
    const first = this.invoke();
    if (!this.policy.hedged || !first) return first ?? Promise.resolve(undefined);
    return new Promise((resolve) => {
      let pending = 1;
      const settle = (result: InvocationResult): void => {
        pending -= 1;
        if (result.kind === 'answered' || pending === 0) resolve(result);
      };
      void first.then(settle);
      this.context.clock.setTimer(HEDGE_AFTER_MS, () => {
        if (pending === 0 || this.ledger.isSettled || !this.maySpendRetry()) return;
        const second = this.invoke();
        if (!second) return;
        pending += 1;
        void second.then(settle);
      });
    });
  }

  private async serveOnce(): Promise<void> {
    if (!this.context.protections.claims) {
      await this.dispatchOnce();
      return;
    }
    const { requestId } = this.start;
    const claimant = this.context.claims.createClaimant();
    const claim = await this.context.claims.claim(requestId, claimant, this.firstUse);
    if (this.ledger.isSettled) {
      // Given up while asking, and so never sent: the identifier may be claimed by another.
      if (claim.kind === 'granted') this.context.claims.release(requestId, claimant);
      return;
    }
    switch (claim.kind) {
      case 'granted':
        this.ledger.apply(RequestEvent.Claim);
        // Whoever claimed it before has given it back, which it may do only where nothing ran.
        this.ledger.proveEarlierNotRun();
        await this.dispatchOnce();
        if (this.ledger.notRunProven) this.context.claims.release(requestId, claimant);
        return;
      case 'settled':
        this.succeed(claim.outcome);
        return;
      case 'held':
        await this.settleByLookup();
        return;
      case 'no-majority':
        if (this.firstUse.proven) this.failUnavailable('no majority to claim the request at');
        else await this.settleByLookup();
    }
  }

  /** Sends to back ends in turn as long as each proves that it ran nothing. */
  private async dispatchOnce(): Promise<void> {
    for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt += 1) {
      // A process that was paused must not act on a claim its caller has given up on.
      if (this.context.clock.now() >= this.deadlineAtMs) {
        this.failAtDeadline();
        return;
      }
      const result = await this.invoke();
      if (this.ledger.isSettled) return;
      if (!result) {
        this.failUnavailable('no back end can take it now');
        return;
      }
      if (result.kind === 'answered') {
        this.context.claims.recordOutcome(this.start.requestId, result.answer);
        this.succeed(result.answer);
        return;
      }
      if (result.kind === 'interrupted' || result.reason === FENCED_REASON) {
        // Whoever closed the identifier may run the request under its second one.
        if (result.kind !== 'interrupted') this.ledger.doubtEarlier();
        await this.settleByLookup();
        return;
      }
      if (!this.maySpendRetry()) break;
      await sleep(this.context.clock, backoffDelayMs(this.context.random, attempt - 1));
    }
    this.failUnavailable('the back ends refused it');
  }

  /**
   * Asks the back ends what became of the request. Asking closes an identifier that they never saw:
   * it can't run any more. The one asker who is told so first may run the request under its second
   * identifier, so that the back end decides between routers that know nothing of each other. Once
   * the second is closed too, the request is proven not run for good.
   */
  private async settleByLookup(): Promise<void> {
    const { requestId } = this.start;
    while (!this.ledger.isSettled) {
      for (const record of this.context.backends.all(this.service)) {
        const { address } = record.machine;
        const lookup = await this.context.backendPort.lookup(address, this.identifier);
        if (this.ledger.isSettled) return;
        if (lookup.kind === 'answered') {
          this.context.claims.recordOutcome(requestId, lookup.answer);
          this.succeed(lookup.answer);
          return;
        }
        if (lookup.kind !== 'fenced') continue;
        if (this.usesSecondIdentifier) {
          this.failClosed();
          return;
        }
        this.usesSecondIdentifier = true;
        if (!lookup.first) break;
        this.ledger.proveFencedNotRun();
        await this.dispatchOnce();
        return;
      }
      await sleep(this.context.clock, LOOKUP_PERIOD_MS);
    }
  }

  /** Identifier under which the back end knows the request now. */
  private get identifier(): string {
    const { requestId } = this.start;
    return this.usesSecondIdentifier ? requestId + SECOND_IDENTIFIER_SUFFIX : requestId;
  }

  private get firstUse(): FirstUse {
    return { atMs: Number(this.start.firstUseAtMs), proven: this.start.firstUseProven };
  }

  private get service(): string {
    return this.start.operation?.service ?? '';
  }

  /** Sends to one back end; undefined where none may take it. */
  private invoke(): Promise<InvocationResult> | undefined {
    const { clock, random, backends, statistics } = this.context;
    const nowMs = clock.now();
    const record =
      backends.pick(this.service, this.context.zone, this.excluded, random, nowMs) ??
      backends.pick(this.service, this.context.zone, new Set(), random, nowMs);
    if (!record) return undefined;
    record.breaker.onSent(nowMs);
    statistics.attempts += 1;
    this.ledger.apply(RequestEvent.Dispatch);
    return this.send(record);
  }

  private async send(record: BackendRecord): Promise<InvocationResult> {
    const { tenant, operation } = this.start;
    const result = await this.context.backendPort.invoke(record.machine.address, {
      requestId: this.identifier,
      tenant,
      service: this.service,
      operation: operation?.operation ?? '',
      payload: operation?.payload ?? new Uint8Array(),
      timeoutMs: Math.max(1, this.deadlineAtMs - this.context.clock.now() - ANSWER_MARGIN_MS),
    });
    this.noteResult(record, result);
    return result;
  }

  private noteResult(record: BackendRecord, result: InvocationResult): void {
    if (result.kind === 'answered') record.breaker.onSuccess();
    else {
      this.excluded.add(record.machine.id);
      if (result.kind !== 'refused') record.breaker.onFailure(this.context.clock.now());
    }
    if (this.ledger.isSettled) {
      this.context.statistics.lateAnswers += 1;
      return;
    }
    const isNotRun = result.kind === 'refused' || result.kind === 'unreachable';
    if (isNotRun) this.ledger.apply(RequestEvent.RefuseNotRun);
    if (result.kind === 'interrupted') this.ledger.apply(RequestEvent.Lose);
  }

  private maySpendRetry(): boolean {
    if (!this.context.protections.retryBudget) return true;
    return this.context.retryBudgetOf(this.start.tenant).trySpend();
  }

  private succeed(answer: BackendAnswer): void {
    this.ledger.apply(RequestEvent.Finish);
    this.context.statistics.finished += 1;
    this.output.finishedOperation(answer.status, answer.body);
    this.end('finished');
  }

  private failUnavailable(message: string): void {
    this.fail({ kind: 'unavailable', message, retryAfterMs: UNAVAILABLE_RETRY_MS });
  }

  /** The back end refuses both identifiers from now on, which proves that nothing has run or will. */
  private failClosed(): void {
    const message = 'the request was not run and its key is closed; send it anew under another key';
    this.failWith({ kind: 'unavailable', message, retryAfterMs: UNAVAILABLE_RETRY_MS }, true);
  }

  private failAtDeadline(): void {
    if (this.ledger.isSettled) return;
    if (this.ledger.notRunProven && this.ledger.state !== RequestState.Dispatched) {
      this.fail({ kind: 'deadline', message: 'the deadline has passed' });
    } else {
      this.fail({ kind: 'outcome-unknown', message: 'no answer before the deadline' });
    }
  }

  private fail(failure: CallFailure): void {
    if (this.ledger.isSettled) return;
    const proven = this.ledger.notRunProven;
    // What may have run and may not be repeated must not look like a plain failure.
    const isUncertain = !proven && !this.policy.repeatable;
    const told: CallFailure = isUncertain
      ? { kind: 'outcome-unknown', message: failure.message }
      : failure;
    this.failWith(told, proven || !this.context.protections.proveNotRun);
  }

  private failWith(failure: CallFailure, notRun: boolean): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.context.statistics.failed += 1;
    this.output.failed({ failure, notRun });
    this.end(failure.kind);
  }

  private giveUp(result: string): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.end(result);
  }

  private end(result: string): void {
    this.deadlineTimer?.cancel();
    this.context.logger.info('request_ended', {
      request_id: this.start.requestId,
      tenant: this.start.tenant,
      service: this.service,
      operation: this.start.operation?.operation,
      result,
      attempts: this.ledger.attempts,
      duration_ms: Math.round(this.context.clock.now() - this.startedMs),
    });
    this.onEnded();
  }
}
