/**
 * Serves one operation of a plain service. A repeatable operation is retried and may be hedged. A
 * non-repeatable one is claimed, dispatched once, and then only looked up.
 */
import { type Timer, sleep } from '../../runtime/clock.js';
import {
  type BackendResponse,
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
/** Delay of the second attempt of a hedged operation. */
const HEDGE_AFTER_MS = 60;
const UNAVAILABLE_RETRY_MS = 500;
const LOOKUP_PERIOD_MS = 100;
/** Part of the deadline that is reserved for the response's way back. */
const RESPONSE_MARGIN_MS = 20;

/** An operation call at a router. */
export class OperationCall implements RouterCall {
  private readonly ledger: RequestLedger;
  private readonly deadlineAtMs: number;
  private readonly startedMs: number;
  private readonly excluded = new Set<string>();
  private deadlineTimer: Timer | undefined;
  /** Set once the first identifier is fenced at the back end. */
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

  /** Starts the call; the result is sent through the output. */
  run(): void {
    this.context.statistics.requests += 1;
    this.context.retryBudgetOf(this.start.tenant).earn(this.parameters.retry_share);
    this.deadlineTimer = this.context.clock.setTimer(this.start.deadlineMs, () =>
      this.failAtDeadline(),
    );
    const served = this.policy.repeatable ? this.serveRepeatable() : this.serveNonRepeatable();
    served.catch((error: unknown) => {
      this.context.logger.error('operation_fault', {
        request_id: this.start.requestId,
        reason: String(error),
      });
      this.fail({ kind: 'outcome-unknown', message: 'internal fault' });
    });
  }

  grantCredit(): void {
    // An operation has a single response, which needs no credit.
  }

  cancel(): void {
    this.endWithoutResponse('cancelled');
  }

  abandon(): void {
    this.endWithoutResponse('abandoned');
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

  /** Runs one attempt, and a second one in parallel if the first is slow and hedging is on. */
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

  private async serveNonRepeatable(): Promise<void> {
    if (!this.context.protections.claims) {
      await this.dispatchOnce();
      return;
    }
    const { requestId } = this.start;
    const claimant = this.context.claims.createClaimant();
    const claim = await this.context.claims.claim(requestId, claimant, this.firstUse);
    if (this.ledger.isSettled) {
      // The call ended before the claim was granted and was never dispatched: release the claim.
      if (claim.kind === 'granted') this.context.claims.release(requestId, claimant);
      return;
    }
    switch (claim.kind) {
      case 'granted':
        this.ledger.apply(RequestEvent.Claim);
        // An earlier claimant must have released its claim, which requires proof that nothing ran.
        this.ledger.proveEarlierNotRun();
        await this.dispatchOnce();
        if (this.ledger.notRunProven) this.context.claims.release(requestId, claimant);
        return;
      case 'settled':
        this.succeed(claim.outcome);
        return;
      case 'held':
        await this.resolveByLookup();
        return;
      case 'no-majority':
        if (this.firstUse.proven) this.failUnavailable('no majority to claim the request at');
        else await this.resolveByLookup();
    }
  }

  /** Dispatches to back ends in turn, as long as each is proven not to have run the request. */
  private async dispatchOnce(): Promise<void> {
    for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt += 1) {
      // After a process pause, the deadline may have passed; the claim must not be used then.
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
        // The router that fenced the identifier may run the request under its second one.
        if (result.kind !== 'interrupted') this.ledger.markEarlierUnproven();
        await this.resolveByLookup();
        return;
      }
      if (!this.maySpendRetry()) break;
      await sleep(this.context.clock, backoffDelayMs(this.context.random, attempt - 1));
    }
    this.failUnavailable('the back ends refused it');
  }

  /**
   * Looks up the outcome at the back ends. A lookup fences an identifier that the back end has not
   * seen: a request with it is refused from then on. The router whose lookup fenced it first may
   * run the request under its second identifier, so the back end arbitrates between uncoordinated
   * routers. Once the second identifier is fenced too, the request can never run.
   */
  private async resolveByLookup(): Promise<void> {
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
          this.failFenced();
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

  /** Identifier that is currently used at the back end. */
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

  /** Dispatches to one back end; returns undefined if none is available. */
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
      timeoutMs: Math.max(1, this.deadlineAtMs - this.context.clock.now() - RESPONSE_MARGIN_MS),
    });
    this.recordResult(record, result);
    return result;
  }

  private recordResult(record: BackendRecord, result: InvocationResult): void {
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

  private succeed(answer: BackendResponse): void {
    this.ledger.apply(RequestEvent.Finish);
    this.context.statistics.finished += 1;
    this.output.finishedOperation(answer.status, answer.body);
    this.end('finished');
  }

  private failUnavailable(message: string): void {
    this.fail({ kind: 'unavailable', message, retryAfterMs: UNAVAILABLE_RETRY_MS });
  }

  /** Both identifiers are fenced at the back end, so the request has not run and never will. */
  private failFenced(): void {
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
    // A non-repeatable request that may have run must not be reported as safe to retry.
    const isUncertain = !proven && !this.policy.repeatable;
    const reported: CallFailure = isUncertain
      ? { kind: 'outcome-unknown', message: failure.message }
      : failure;
    this.failWith(reported, proven || !this.context.protections.proveNotRun);
  }

  private failWith(failure: CallFailure, notRun: boolean): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.context.statistics.failed += 1;
    this.output.failed({ failure, notRun });
    this.end(failure.kind);
  }

  private endWithoutResponse(result: string): void {
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
