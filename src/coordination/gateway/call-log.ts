/** Log lines of one request: each decision with its inputs, and each failure. */
import {
  BodyFraming,
  type ExchangeFailure,
  type SendOptions,
} from '../../protocol/inference/port.js';
import type { LogFields, Logger } from '../../runtime/logger.js';
import type { Placement } from '../../state/routing/placement.js';
import type { GatewayContext } from './gateway-context.js';
import type { CallRecord } from './call-record.js';
import type { QuotaDenial } from './quota/tenant-quotas.js';
import type { TooLateVerdict } from './rejections.js';
import type { InboundRequest } from './reply.js';
import type { Send } from './send.js';
import type { OriginFinding } from './stream-origin-questions.js';

/** Logs that a request is sent to an engine, with the inputs of the decision. */
export function logSend(
  call: CallRecord,
  placement: Placement,
  { resumeAfter, forwarder }: Pick<SendOptions, 'resumeAfter' | 'forwarder'>,
  context: GatewayContext,
): void {
  const { configuration, registry, loads, logger, group, clock } = context;
  const { id: requestId, resumes } = call.request;
  const { id, address, build } = placement.engine.record;
  logger.info('request_sent', {
    request: requestId,
    send: call.sends,
    ...chargeFields(call),
    engine: id,
    address,
    forwarder: forwarder?.address,
    build,
    after_event: resumeAfter,
    resumes,
    version: placement.expectedVersion,
    cost_ms: Math.round(placement.costMs),
    unread: Math.round(placement.unreadTokens),
    fetch: placement.fetchFrom,
    engine_requests: loads.at(id).requests,
    configuration: configuration.version,
    proof_age_ms: Math.round(configuration.proofAgeMs(clock.elapsed())),
    engine_view: registry.version,
    group: group.size,
  });
}

/** What the request was charged, and to which account; nothing for a tenant without a limit. */
function chargeFields({ grant, quota }: CallRecord): LogFields {
  const { charged } = quota;
  if (!charged || charged.charge === 0) return {};
  return { tenant: grant?.tenant?.name, charge: charged.charge, charged_to: charged.source };
}

/** Logs that a placed generation is expected to miss its deadline, with the inputs of the estimate. */
export function logTooLate(
  requestId: string,
  { engine, expectedMs }: Placement,
  { excessMs, finishMs, inputs }: TooLateVerdict,
  logger: Logger,
): void {
  logger.info('request_too_late', {
    request: requestId,
    engine: engine.record.id,
    first_token_ms: Math.round(expectedMs),
    finish_ms: Math.round(finishMs),
    excess_ms: Math.round(excessMs),
    first_token_ratio: inputs?.firstTokenRatio.toFixed(2),
    pause_ms: inputs?.pauseMs?.toFixed(1),
    age_ms: inputs && Math.round(inputs.ageMs),
  });
}

/**
 * Logs that a request exceeds its tenant's limit, with the account level or that no quota owner was
 * reachable.
 */
export function logQuotaDenial(
  requestId: string,
  tenant: string | undefined,
  { charge, level, limit, retryAfterMs }: QuotaDenial,
  logger: Logger,
): void {
  logger.info('quota_denied', {
    request: requestId,
    tenant,
    charge,
    account_level: level === undefined ? undefined : Math.round(level),
    isolated: level === undefined,
    rate: limit.ratePerSecond,
    burst: limit.burst,
    unit: limit.unit,
    retry_after_ms: retryAfterMs && Math.round(retryAfterMs),
  });
}

/** Identifies one send of a request. */
export interface SendIdentity {
  readonly request: string;
  /** Counts from 1 and includes only sends that reached an engine. */
  readonly send: number;
  readonly engine: string;
}

/**
 * Logs a send that ended without a response to pass on.
 *
 * @param isConnected whether the send had a connection to the engine
 * @param idleMs time since the engine last wrote, or since the send
 * @param fingerprint identifies repeats of the request; set only after a disconnect
 */
export function logSendFailure(
  identity: SendIdentity,
  failure: ExchangeFailure,
  isConnected: boolean,
  idleMs: number,
  fingerprint: string | undefined,
  logger: Logger,
): void {
  logger.info('send_failed', {
    ...identity,
    kind: failure.kind,
    status: failure.kind === 'refused' ? failure.status : undefined,
    reason: failure.reason,
    connected: isConnected,
    idle_ms: Math.round(idleMs),
    fingerprint,
  });
}

/** Logs that a silent engine still has a request that is sent elsewhere, or serves it after all. */
export function logStalledSend(
  event: 'send_stalled' | 'stalled_send_returned',
  call: CallRecord,
  send: Send,
  reason: string,
): void {
  call.context.logger.info(event, {
    request: call.request.id,
    send: call.sends,
    engine: send.engineId,
    reason,
    idle_ms: Math.round(call.now - send.lastActivityMs),
  });
}

/** Logs that a response that has begun ends incomplete, and what is known of its engine. */
export function logAbort(call: CallRecord, reason: string): void {
  const { request, grant, send, context } = call;
  const { configuration, enginePath, logger } = context;
  logger.warn('response_aborted', {
    request: request.id,
    reason,
    engine: send?.engineId,
    sends: call.sends,
    engine_disconnected: call.wasDisconnected,
    engine_idle_ms: send && Math.round(call.now - send.lastActivityMs),
    remaining_ms: Math.round(call.remainingMs),
    age_ms: Math.round(call.now - call.request.arrivedMs),
    admitted_under: grant?.table.configuration.version,
    configuration: configuration.version,
    path: enginePath.state,
  });
}

function buildOf(finding: OriginFinding): string | undefined {
  if (finding.kind === 'known') return finding.origin.build;
  return finding.kind === 'sole-build' ? finding.build : undefined;
}

/** Logs where a stream that a caller takes up goes on, and what that rests on. */
export function logTakenUp(
  { id, resumes, resumeAfter }: InboundRequest,
  service: string,
  finding: OriginFinding,
  { streamOrigins, logger }: GatewayContext,
): void {
  logger.info('stream_taken_up', {
    request: id,
    resumes,
    after_event: resumeAfter,
    service,
    finding: finding.kind,
    build: buildOf(finding),
    history: streamOrigins.historySource,
  });
}

/** Outcome of a request. */
export interface RequestEnd {
  readonly outcome: string;
  /** Status of a response by the router itself; 0 if there was none. */
  readonly ownStatus: number;
  /** Status of the engine's response that was passed on. */
  readonly responseStatus: number | undefined;
  readonly route: string | undefined;
  readonly fingerprint: string | undefined;
  /** Engine of the last send. */
  readonly engine: string | undefined;
  readonly sends: number;
  /** Monotonic time of the first bytes of a response. */
  readonly firstChunkMs: number | undefined;
  /** What showed the end of the last engine's response; undefined without a response. */
  readonly framing: BodyFraming | undefined;
  /** What showed the caller the end of its response; undefined if none was passed on. */
  readonly sentFraming: BodyFraming | undefined;
}

/** Logs the end of a request. */
export function logFinish(
  { id, arrivedMs }: InboundRequest,
  end: RequestEnd,
  { logger, clock }: GatewayContext,
): void {
  const { outcome, ownStatus, responseStatus, route, fingerprint, engine, sends, firstChunkMs } =
    end;
  const { framing, sentFraming } = end;
  logger.info('request_finished', {
    request: id,
    outcome,
    own_status: ownStatus === 0 ? undefined : ownStatus,
    answer_status: responseStatus,
    route,
    fingerprint,
    engine,
    sends,
    // The usual framing is left out.
    framing: framing === BodyFraming.Connection ? framing : undefined,
    sent_framing: framing === BodyFraming.Connection ? sentFraming : undefined,
    first_ms: firstChunkMs && Math.round(firstChunkMs - arrivedMs),
    took_ms: Math.round(clock.now() - arrivedMs),
  });
}
