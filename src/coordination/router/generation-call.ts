/**
 * Serves one generation: places it on an engine, relays its tokens, and takes it up elsewhere when
 * the engine or an earlier router is lost.
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
import { FIRST_TOKEN_LIMIT_MS, STALL_LIMIT_MS, StallWatch } from './stall-watch.js';
import { TokenRelay } from './token-relay.js';

/** Dispatches of one request at one router at most. */
const MAXIMUM_ATTEMPTS = 4;
/** When the caller should come again after a model had no engine. */
const NO_ENGINE_RETRY_MS = 1_000;
/** How long a broken stream waits for an engine to continue on. */
const CONTINUATION_WAIT_MS = 3_000;
const CONTINUATION_POLL_MS = 100;

/** One attempt at one engine. Its listener goes deaf once it is given up. */
interface Attempt {
  readonly record: EngineRecord;
  readonly baseSequence: number;
  readonly engineRequestId: string;
  stream: EngineStream | undefined;
  answered: boolean;
}

/** A generation at a router. */
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
  private continueUntilMs: number | undefined;
  private timers = new Set<Timer>();
  private readonly stallWatch: StallWatch;

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
    this.stallWatch = new StallWatch(
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

  /** Begins; the call ends through its output. */
  run(): void {
    this.context.statistics.requests += 1;
    this.context.retryBudgetOf(this.start.tenant).earn(this.parameters.retry_share);
    this.after(this.start.deadlineMs, () => {
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
    if (!generation) throw new Error('start of a generation without its parameters');
    return generation;
  }

  /** Takes up the stream of an earlier attempt where its engine still runs. */
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
      this.withoutEngine();
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
    const attempt: Attempt = { record, baseSequence, engineRequestId, stream, answered: false };
    this.attempt = attempt;
    this.ledger.apply(RequestEvent.Dispatch);
    this.watchForStall(attempt, FIRST_TOKEN_LIMIT_MS);
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
    const whenCurrent = (action: () => void): void => {
      if (this.attempt === attempt && !this.ledger.isSettled) action();
      else this.context.statistics.lateAnswers += 1;
    };
    return {
      onStart: (start) => whenCurrent(() => this.onStart(attempt, start)),
      onTokens: (offset, texts) => whenCurrent(() => this.onTokens(attempt, offset, texts)),
      onEnd: (reason, usage) => whenCurrent(() => this.onEnd(reason, usage)),
      onFailure: (failure) => whenCurrent(() => this.onFailure(attempt, failure)),
    };
  }

  private onStart(attempt: Attempt, start: EngineStreamStart): void {
    const { record } = attempt;
    record.breaker.onSuccess();
    record.setLoad(start.load);
    this.answering(attempt);
    const { engineId } = record.machine;
    const keptMarks = Math.floor(start.cachedTokens / MARK_TOKENS);
    const { directory, clock } = this.context;
    directory.correct(engineId, this.marks, keptMarks);
    directory.confirm(engineId, start.incarnation, this.marks, clock.now());
    this.firstUsage ??= start;
  }

  /** An engine may hang with its connections open; only the lack of tokens shows it. */
  private watchForStall(attempt: Attempt, limitMs: number): void {
    this.stallWatch.expectWithin(limitMs, () => {
      if (this.attempt !== attempt || this.ledger.isSettled) return;
      attempt.stream?.cancel();
      this.onFailure(attempt, { kind: 'interrupted', reason: 'engine stalled' });
    });
  }

  private onTokens(attempt: Attempt, offset: number, texts: readonly string[]): void {
    this.answering(attempt);
    this.watchForStall(attempt, STALL_LIMIT_MS);
    this.context.statistics.chunks += texts.length;
    if (!this.relay.take(attempt.baseSequence + offset, texts)) {
      this.onFailure(attempt, { kind: 'interrupted', reason: 'tokens missing' });
      return;
    }
    if (this.relay.isFull) attempt.stream?.pause();
  }

  private answering(attempt: Attempt): void {
    if (attempt.answered) return;
    attempt.answered = true;
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
    this.noteFailure(attempt, failure);
    this.ledger.apply(provesNotRun(failure) ? RequestEvent.RefuseNotRun : RequestEvent.Lose);
    // A stream that can't be taken up starts anew at once; it is no further load on its engine.
    if (failure.kind === 'not-found') this.dispatch();
    else this.retry(failure.reason);
  }

  private noteFailure(attempt: Attempt, failure: EngineFailure): void {
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
    this.after(delayMs, () => this.dispatch());
  }

  private maySpendRetry(): boolean {
    // A stream the caller has begun to read is worth more than the budget: it is bounded by attempts.
    if (this.relay.nextSequence > 0 || !this.context.protections.retryBudget) return true;
    return this.context.retryBudgetOf(this.start.tenant).trySpend();
  }

  /** A stream in progress waits a little for an engine; a new request is answered at once. */
  private withoutEngine(): void {
    const nowMs = this.context.clock.now();
    if (this.relay.nextSequence > 0) {
      this.continueUntilMs ??= nowMs + CONTINUATION_WAIT_MS;
      this.excluded.clear();
      if (nowMs < this.continueUntilMs) {
        this.after(CONTINUATION_POLL_MS, () => this.dispatch());
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

  private after(delayMs: number, callback: () => void): void {
    const timer = this.context.clock.setTimer(delayMs, () => {
      this.timers.delete(timer);
      callback();
    });
    this.timers.add(timer);
  }

  private end(result: string): void {
    this.attempt = undefined;
    this.stallWatch.stop();
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
