/** What engines say of themselves beside their answers. */
import type { EngineNotice } from '../../protocol/inference/port.js';
import type { GatewayContext } from './gateway-context.js';
import type { AnsweredRequest } from './engine-limit-discovery.js';

/** Takes the notice that an answer carries. */
export function noteEngineNotice(
  answered: AnsweredRequest,
  { isLeaving, backoffMs, limitPerSecond, unreadable, unknownHeaders }: EngineNotice,
  { registry, health, limitNews, clock, statistics, logger }: GatewayContext,
): void {
  const { id, name } = answered.engine;
  const source = { engine: id, request: answered.requestId };
  if (isLeaving && registry.noteLeaving(id)) {
    statistics.enginesLeaving += 1;
    logger.info('engine_leaving', source);
  }
  if (backoffMs !== undefined) {
    health.backoffs.note(name, clock.now(), backoffMs);
    statistics.backoffNotices += 1;
    logger.info('engine_backoff', { ...source, for_ms: backoffMs });
  }
  if (limitPerSecond !== undefined) limitNews.noteNamed(answered, limitPerSecond);
  for (const header of unknownHeaders) {
    if (statistics.unknownEngineHeaders.note(header)) {
      logger.warn('engine_header_unknown', { ...source, name: header });
    }
  }
  if (unreadable.length > 0) {
    statistics.unreadableNotices += 1;
    logger.warn('engine_notice_unreadable', { ...source, values: unreadable.join(',') });
  }
}
