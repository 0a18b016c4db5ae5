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
  { isLeaving, backoffMs }: EngineNotice,
  { registry, health, clock, statistics, logger }: GatewayContext,
): void {
  const source = { engine: id, request: requestId };
  if (isLeaving && registry.noteLeaving(id)) {
    statistics.enginesLeaving += 1;
    logger.info('engine_leaving', source);
  }
  if (backoffMs === undefined) return;
  health.backoffs.note(name, clock.now(), backoffMs);
  statistics.backoffNotices += 1;
  logger.info('engine_backoff', { ...source, for_ms: backoffMs });
}
