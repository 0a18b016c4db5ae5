/** What engines say of themselves beside their answers. */
import type { EngineNotice } from '../../protocol/inference/port.js';
import type { GatewayContext } from './gateway-context.js';

/**
 * Takes an engine's notice.
 *
 * @param requestId of the request whose answer carried it
 */
export function noteEngineNotice(
  engineId: string,
  requestId: string,
  { isLeaving, backoffMs }: EngineNotice,
  { registry, statistics, logger }: GatewayContext,
): void {
  const source = { engine: engineId, request: requestId };
  if (isLeaving && registry.noteLeaving(engineId)) {
    statistics.enginesLeaving += 1;
    logger.info('engine_leaving', source);
  }
  if (backoffMs !== undefined) {
    statistics.backoffNotices += 1;
    logger.info('engine_backoff', { ...source, for_ms: backoffMs });
  }
}
