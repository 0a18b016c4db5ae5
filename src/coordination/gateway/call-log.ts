/** The log lines of a request on its way: what was decided, from which inputs, and what failed. */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import type { Logger } from '../../runtime/logger.js';
import type { Placement } from '../../state/routing/placement.js';
import type { GatewayContext } from './gateway-context.js';
import type { QuotaDenial } from './quota/tenant-quotas.js';
import type { InboundRequest } from './reply.js';

/** A request goes to an engine; the fields are what decided it. */
export function logSend(
  requestId: string,
  send: number,
  placement: Placement,
  context: GatewayContext,
): void {
  const { configuration, registry, loads, logger, group, clock } = context;
  const { id, address } = placement.engine.record;
  logger.info('request_sent', {
    request: requestId,
    send,
    engine: id,
    address,
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

/** A request is beyond its tenant's limit; the account's level, or that none could be reached, decided it. */
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

/** Which send of which request. */
export interface SendName {
  readonly request: string;
  /** 1 for the first one that reached an engine. */
  readonly send: number;
  readonly engine: string;
}

/**
 * A send ended without an answer to pass on.
 *
 * @param fingerprint names the request when it comes again; only where the connection broke
 */
export function logSendFailure(
  name: SendName,
  failure: ExchangeFailure,
  fingerprint: string | undefined,
  logger: Logger,
): void {
  logger.info('send_failed', {
    ...name,
    kind: failure.kind,
    status: failure.kind === 'refused' ? failure.status : undefined,
    reason: failure.reason,
    fingerprint,
  });
}

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: string;
  /** Status of the router's own answer; 0 where it gave none. */
  readonly ownStatus: number;
  /** Status of the engine's answer that was passed on. */
  readonly answerStatus: number | undefined;
  readonly route: string | undefined;
  readonly fingerprint: string | undefined;
  /** The engine of the last send. */
  readonly engine: string | undefined;
  readonly sends: number;
  /** When the first bytes of an answer came, on the steady clock. */
  readonly firstChunkMs: number | undefined;
}

/** The caller has its answer. */
export function logFinish(
  { id, arrivedMs }: InboundRequest,
  end: RequestEnd,
  { logger, clock }: GatewayContext,
): void {
  const { outcome, ownStatus, answerStatus, route, fingerprint, engine, sends, firstChunkMs } = end;
  logger.info('request_finished', {
    request: id,
    outcome,
    own_status: ownStatus === 0 ? undefined : ownStatus,
    answer_status: answerStatus,
    route,
    fingerprint,
    engine,
    sends,
    first_ms: firstChunkMs && Math.round(firstChunkMs - arrivedMs),
    took_ms: Math.round(clock.now() - arrivedMs),
  });
}
