/** What engines say of themselves beside their answers. */
import type { EngineEndpoint, EngineNotice } from '../../protocol/inference/port.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * Takes an engine's notice.
 *
 * @param requestId of the request whose answer carried it
 */
export function noteEngineNotice(
  { id, name }: EngineEndpoint,
  requestId: string,
  { isLeaving, backoffMs, limitPerSecond, unreadable }: EngineNotice,
  { registry, health, clock, statistics, logger }: GatewayContext,
): void {
  const source = { engine: id, request: requestId };
  const now = clock.now();
  if (isLeaving && registry.noteLeaving(id)) {
    statistics.enginesLeaving += 1;
    logger.info('engine_leaving', source);
  }
  if (backoffMs !== undefined) {
    health.backoffs.note(name, now, backoffMs);
    statistics.backoffNotices += 1;
    logger.info('engine_backoff', { ...source, for_ms: backoffMs });
  }
  if (limitPerSecond !== undefined && health.limits.noteNamed(name, limitPerSecond, now)) {
    statistics.limitChanges += 1;
    logger.info('engine_limit', { ...source, per_second: limitPerSecond });
  }
  if (unreadable.length > 0) {
    statistics.unreadableNotices += 1;
    logger.warn('engine_notice_unreadable', { ...source, values: unreadable.join(',') });
  }
}

/**
 * An engine answered a request itself and named no limit.
 *
 * @param sentMs when the request was sent, on the steady clock
 */
export function noteNoLimit(
  { id, name }: EngineEndpoint,
  requestId: string,
  sentMs: number,
  { health, statistics, logger }: GatewayContext,
): void {
  if (!health.limits.noteUnnamed(name, sentMs)) return;
  statistics.limitChanges += 1;
  logger.info('engine_limit_lifted', { engine: id, request: requestId });
}
