/**
 * Serves one generation: dispatches it to an engine, relays its tokens, and continues it elsewhere
 * when the engine or an earlier router is lost.
 */
import type { Timer } from '../../runtime/clock.js';
import type {
  EngineFailure,
  EngineGeneration,
  EngineStream,
  EngineStreamListener,
  EngineStreamStart,
  EngineUsage,
} from '../../protocol/engine/port.js';
import type { StartCall } from '../../protocol/peer/generated/peer_pb.js';
import { backoffDelayMs } from '../../state/backoff.js';
import type { EngineRecord } from '../../state/engine-table.js';
import {
  MARK_TOKENS,
  chainSeed,
  formatCacheSalt,
  hashBlocks,
  selectMarks,
  tokensOfBytes,
} from '../../state/prefix-chain.js';
import { RequestEvent, RequestLedger } from '../../state/request-ledger.js';
import type { TenantParameters } from '../../state/template-set.js';
import type { CallFailure } from '../errors.js';
import type { AllowedModel } from '../shared/configuration.js';
import type { CallEnded, RouterCall } from './call.js';
import type { CallOutput } from './call-output.js';
import type { RouterContext } from './router-context.js';
import { FIRST_TOKEN_TIMEOUT_MS, STALL_TIMEOUT_MS, StallDetector } from './stall-detector.js';
import { TokenRelay } from './token-relay.js';

/** Maximum number of dispatches of one request by one router. */
const MAXIMUM_ATTEMPTS = 4;
/** Retry delay for the caller if no engine is available for the model. */
const NO_ENGINE_RETRY_MS = 1_000;
/** Maximum wait of an interrupted stream for an engine that continues it. */
const CONTINUATION_WAIT_MS = 3_000;
const CONTINUATION_POLL_MS = 100;

/** One attempt at one engine. Events of an attempt that is no longer current are ignored. */
interface Attempt {
  readonly record: EngineRecord;
  readonly baseSequence: number;
  readonly engineRequestId: string;
  stream: EngineStream | undefined;
  hasResponse: boolean;
}

/** A generation call at a router. */
export class GenerationCall implements RouterCall {
  private readonly ledger: RequestLedger;
  private readonly relay: TokenRelay;
  private readonly excluded = new Set<string>();
  private readonly marks: readonly bigint[];
  private readonly seed: bigint;
  private readonly startedMs: number;
  private attempt: Attempt | undefined;
  private attemptCount = 0;
  private finish: { reason: string; usage: EngineUsage } | undefined;
  private firstUsage: EngineStreamStart | undefined;
  private continuationDeadlineMs: number | undefined;
  private timers = new Set<Timer>();
  private readonly stallDetector: StallDetector;

  constructor(
    private readonly start: StartCall,
    private readonly allowed: AllowedModel,
    private readonly parameters: TenantParameters,
    private readonly context: RouterContext,
    private readonly output: CallOutput,
    private readonly onEnded: CallEnded,
  ) {
    this.startedMs = context.clock.now();
    this.ledger = new RequestLedger(start.earlierUnproven);
    this.relay = new TokenRelay(output, this.generation.deliveredChunks, start.initialCredit);
    this.stallDetector = new StallDetector(
      context.clock,
      () => this.relay.isFull || this.finish !== undefined,
    );
    this.seed = chainSeed(context.hasher, {
      tenant: context.protections.tenantSalt ? start.tenant : '',
      model: allowed.model,
      weightsDigest: context.protections.weightsSalt ? allowed.version.weights_digest : '',
      adapterDigest: allowed.version.adapter_digest,
    });
    const blocks = hashBlocks(context.hasher, this.seed, this.generation.prompt);
    this.marks = selectMarks(blocks);
  }

  /** Starts the call; the result is sent through the output. */
  run(): void {
    this.context.statistics.requests += 1;
    this.context.retryBudgetOf(this.start.tenant).earn(this.parameters.retry_share);
    this.schedule(this.start.deadlineMs, () => {
      this.fail({ kind: 'deadline', message: 'the deadline has passed' });
    });
    if (!this.reattach()) this.dispatch();
  }

  grantCredit(chunks: number): void {
    this.relay.grant(chunks);
    if (!this.relay.isFull) this.attempt?.stream?.resume();
    this.finishWhenDrained();
  }

  cancel(): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.attempt?.stream?.cancel();
    this.end('cancelled');
  }

  abandon(): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.attempt?.stream?.detach();
    this.end('abandoned');
  }

  private get generation(): NonNullable<StartCall['generation']> {
    const { generation } = this.start;
    if (!generation) throw new Error('generation call without generation parameters');
    return generation;
  }

  /** Resumes the stream of an earlier attempt if its engine was not restarted. */
  private reattach(): boolean {
    const position = this.generation.position;
    const record = position && this.context.engines.get(position.engineId);
    if (!position || !record || !this.context.protections.continueStreams) return false;
    if (record.report && record.report.incarnation !== Number(position.incarnation)) return false;
    const offset = this.relay.nextSequence - position.baseSequence;
    if (offset < 0) return false;
    this.context.statistics.reattachments += 1;
    this.openStream(record, position.baseSequence, position.engineRequestId, (listener) =>
      this.context.enginePort.resume(
        record.machine.address,
        position.engineRequestId,
        offset,
        listener,
      ),
    );
    return true;
  }

  private dispatch(): void {
    if (this.ledger.isSettled) return;
    const chosen = this.context.selector.choose({
      tenant: this.start.tenant,
      parameters: this.parameters,
      model: this.allowed.model,
      version: this.allowed.version,
      marks: this.marks,
      promptBytes: this.generation.prompt.length,
      excluded: this.excluded,
    });
    if (!chosen) {
      this.handleNoEngine();
      return;
    }
    this.attemptCount += 1;
    this.context.statistics.attempts += 1;
    const baseSequence = this.relay.nextSequence;
    const engineRequestId = `${this.start.requestId}.${this.start.attempt}.${this.attemptCount}`;
    const generation = this.engineGeneration(engineRequestId, baseSequence);
    const { record } = chosen;
    this.openStream(record, baseSequence, engineRequestId, (listener) =>
      this.context.enginePort.generate(record.machine.address, generation, listener),
    );
  }

  private engineGeneration(engineRequestId: string, baseSequence: number): EngineGeneration {
    const { prompt, deliveredText, maxTokens } = this.generation;
    const continued = this.context.protections.continueStreams;
    return {
      engineRequestId,
      model: this.allowed.model,
      weightsDigest: this.allowed.version.weights_digest,
      adapterDigest: this.allowed.version.adapter_digest,
      cacheSalt: formatCacheSalt(this.seed),
      prompt,
      continuation: continued ? deliveredText + this.relay.receivedText : '',
      maxTokens: continued ? maxTokens - baseSequence : maxTokens,
      priority: this.start.priority + this.parameters.priority,
    };
  }

  private openStream(
    record: EngineRecord,
    baseSequence: number,
    engineRequestId: string,
    open: (listener: EngineStreamListener) => EngineStream,
  ): void {
    const stream = undefined;
    const attempt: Attempt = { record, baseSequence, engineRequestId, stream, hasResponse: false };
    this.attempt = attempt;
    this.ledger.apply(RequestEvent.Dispatch);
    this.startStallTimer(attempt, FIRST_TOKEN_TIMEOUT_MS);
    this.output.running({
      engineId: record.machine.engineId,
      incarnation: record.report?.incarnation ?? 0,
      engineRequestId,
      baseSequence,
    });
    const opened = open(this.listenerOf(attempt));
    if (this.attempt === attempt) attempt.stream = opened;
  }

  private listenerOf(attempt: Attempt): EngineStreamListener {
    const ifCurrent = (action: () => void): void => {
      if (this.attempt === attempt && !this.ledger.isSettled) action();
      else this.context.statistics.lateAnswers += 1;
    };
    return {
      onStart: (start) => ifCurrent(() => this.onStart(attempt, start)),
      onTokens: (offset, texts) => ifCurrent(() => this.onTokens(attempt, offset, texts)),
      onEnd: (reason, usage) => ifCurrent(() => this.onEnd(reason, usage)),
      onFailure: (failure) => ifCurrent(() => this.onFailure(attempt, failure)),
    };
  }

  private onStart(attempt: Attempt, start: EngineStreamStart): void {
    const { record } = attempt;
    record.breaker.onSuccess();
    record.setLoad(start.load);
    this.recordResponse(attempt);
    const { engineId } = record.machine;
    const cachedMarks = Math.floor(start.cachedTokens / MARK_TOKENS);
    const { directory, clock } = this.context;
    directory.correct(engineId, this.marks, cachedMarks);
    directory.confirm(engineId, start.incarnation, this.marks, clock.now());
    this.firstUsage ??= start;
  }

  /** Detects an engine that hangs with open connections by the absence of tokens. */
  private startStallTimer(attempt: Attempt, limitMs: number): void {
    this.stallDetector.expectWithin(limitMs, () => {
      if (this.attempt !== attempt || this.ledger.isSettled) return;
      attempt.stream?.cancel();
      this.onFailure(attempt, { kind: 'interrupted', reason: 'engine stalled' });
    });
  }

  private onTokens(attempt: Attempt, offset: number, texts: readonly string[]): void {
    this.recordResponse(attempt);
    this.startStallTimer(attempt, STALL_TIMEOUT_MS);
    this.context.statistics.chunks += texts.length;
    if (!this.relay.accept(attempt.baseSequence + offset, texts)) {
      this.onFailure(attempt, { kind: 'interrupted', reason: 'tokens missing' });
      return;
    }
    if (this.relay.isFull) attempt.stream?.pause();
  }

  private recordResponse(attempt: Attempt): void {
    if (attempt.hasResponse) return;
    attempt.hasResponse = true;
    this.ledger.apply(RequestEvent.Answer);
  }

  private onEnd(reason: string, usage: EngineUsage): void {
    this.finish = { reason, usage };
    this.finishWhenDrained();
  }

  private finishWhenDrained(): void {
    if (!this.finish || !this.relay.isDrained || this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Finish);
    const promptTokens = tokensOfBytes(this.generation.prompt.length);
    const cachedTokens = Math.min(this.firstUsage?.cachedTokens ?? 0, promptTokens);
    const completionTokens = this.relay.nextSequence;
    this.context.statistics.finished += 1;
    this.context.statistics.promptTokens += promptTokens;
    this.context.statistics.cachedTokens += cachedTokens;
    this.output.finishedGeneration(completionTokens, this.finish.reason, {
      promptTokens,
      cachedTokens,
      completionTokens,
    });
    this.end('finished');
  }

  private onFailure(attempt: Attempt, failure: EngineFailure): void {
    this.attempt = undefined;
    attempt.stream?.detach();
    this.recordFailure(attempt, failure);
    this.ledger.apply(provesNotRun(failure) ? RequestEvent.RefuseNotRun : RequestEvent.Lose);
    // A stream that can't be resumed adds no load to its engine, so it needs no retry delay.
    if (failure.kind === 'not-found') this.dispatch();
    else this.retry(failure.reason);
  }

  private recordFailure(attempt: Attempt, failure: EngineFailure): void {
    const { record } = attempt;
    const { engineId } = record.machine;
    this.context.logger.info('attempt_failed', {
      request_id: this.start.requestId,
      engine: engineId,
      kind: failure.kind,
      reason: failure.kind === 'not-found' ? undefined : failure.reason,
    });
    if (failure.kind === 'not-found') return;
    this.excluded.add(engineId);
    const isFault = failure.kind !== 'refused';
    if (isFault) record.breaker.onFailure(this.context.clock.now());
  }

  private retry(reason: string): void {
    if (this.attemptCount >= MAXIMUM_ATTEMPTS || !this.maySpendRetry()) {
      const message = `the engine failed (${reason})`;
      this.fail({ kind: 'unavailable', message, retryAfterMs: NO_ENGINE_RETRY_MS });
      return;
    }
    this.context.statistics.retries += 1;
    if (this.relay.nextSequence > 0) this.context.statistics.continuations += 1;
    const delayMs = backoffDelayMs(this.context.random, this.attemptCount - 1);
    this.schedule(delayMs, () => this.dispatch());
  }

  private maySpendRetry(): boolean {
    // A started stream may exceed the retry budget; its retries are limited by `MAXIMUM_ATTEMPTS`.
    if (this.relay.nextSequence > 0 || !this.context.protections.retryBudget) return true;
    return this.context.retryBudgetOf(this.start.tenant).trySpend();
  }

  /** A started stream waits up to `CONTINUATION_WAIT_MS` for an engine; others fail at once. */
  private handleNoEngine(): void {
    const nowMs = this.context.clock.now();
    if (this.relay.nextSequence > 0) {
      this.continuationDeadlineMs ??= nowMs + CONTINUATION_WAIT_MS;
      this.excluded.clear();
      if (nowMs < this.continuationDeadlineMs) {
        this.schedule(CONTINUATION_POLL_MS, () => this.dispatch());
        return;
      }
    }
    const message = `no engine can take model "${this.allowed.model}" now`;
    this.fail({ kind: 'unavailable', message, retryAfterMs: NO_ENGINE_RETRY_MS });
  }

  private fail(failure: CallFailure): void {
    if (this.ledger.isSettled) return;
    this.ledger.apply(RequestEvent.Fail);
    this.attempt?.stream?.cancel();
    const proven = this.ledger.notRunProven;
    this.context.statistics.failed += 1;
    this.output.failed({ failure, notRun: proven || !this.context.protections.proveNotRun });
    this.end(failure.kind);
  }

  private schedule(delayMs: number, callback: () => void): void {
    const timer = this.context.clock.setTimer(delayMs, () => {
      this.timers.delete(timer);
      callback();
    });
    this.timers.add(timer);
  }

  private end(result: string): void {
    this.attempt = undefined;
    this.stallDetector.stop();
    for (const timer of this.timers) timer.cancel();
    this.timers.clear();
    this.context.logger.info('request_ended', {
      request_id: this.start.requestId,
      tenant: this.start.tenant,
      model: this.allowed.model,
      result,
      attempts: this.attemptCount,
      chunks: this.relay.nextSequence,
      duration_ms: Math.round(this.context.clock.now() - this.startedMs),
    });
    this.onEnded();
  }
}

function provesNotRun(failure: EngineFailure): boolean {
  return failure.kind === 'refused' || failure.kind === 'unreachable';
}
