/**
 * Applies the notices that engines attach to their responses: draining, backoffs and rate limits.
 */
import type { EngineNotice } from '../../protocol/inference/port.js';
import type { GatewayContext } from './gateway-context.js';
import type { AnsweredRequest } from './engine-limit-discovery.js';

/** Applies the notice of one response. */
export function applyEngineNotice(
  answeredRequest: AnsweredRequest,
  { isLeaving, backoffMs, limitPerSecond, unreadable, unknownHeaders }: EngineNotice,
  { registry, health, limitDiscovery, clock, statistics, logger }: GatewayContext,
): void {
  const { id, name } = answeredRequest.engine;
  const source = { engine: id, request: answeredRequest.requestId };
  if (isLeaving && registry.noteLeaving(id)) {
    statistics.enginesLeaving += 1;
    logger.info('engine_leaving', source);
  }
  if (backoffMs !== undefined) {
    health.backoffs.record(name, clock.now(), backoffMs);
    statistics.backoffNotices += 1;
    logger.info('engine_backoff', { ...source, for_ms: backoffMs });
  }
  if (limitPerSecond !== undefined) limitDiscovery.recordLimit(answeredRequest, limitPerSecond);
  for (const header of unknownHeaders) {
    if (statistics.unknownEngineHeaders.addName(header)) {
      logger.warn('engine_header_unknown', { ...source, name: header });
    }
  }
  if (unreadable.length > 0) {
    statistics.unreadableNotices += 1;
    logger.warn('engine_notice_unreadable', { ...source, values: unreadable.join(',') });
  }
}
