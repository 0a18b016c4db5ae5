/** The log lines of a request on its way: what was decided, from which inputs, and what failed. */
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import type { Logger } from '../../runtime/logger.js';
import type { Placement } from '../../state/routing/placement.js';
import type { GatewayContext } from './gateway-context.js';

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
    proof_age_ms: Math.round(configuration.proofAgeMs(clock.now())),
    engine_view: registry.version,
    group: group.size,
  });
}

/**
 * A send ended without an answer to pass on.
 *
 * @param fingerprint names the request when it comes again; only where the connection broke
 */
export function logSendFailure(
  requestId: string,
  send: number,
  engineId: string,
  failure: ExchangeFailure,
  fingerprint: string | undefined,
  logger: Logger,
): void {
  logger.info('send_failed', {
    request: requestId,
    send,
    engine: engineId,
    kind: failure.kind,
    status: failure.kind === 'refused' ? failure.status : undefined,
    reason: failure.reason,
    fingerprint,
  });
}
