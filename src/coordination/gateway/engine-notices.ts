/**
 * Applies the notices that engines attach to their responses: draining, backoffs and rate limits.
 */
import type { EngineNotice } from '../../protocol/inference/port.js';
import type { EngineHealth } from '../../state/routing/engine-health.js';
import {
  BrittleEngineDiscovery,
  type BrittleEngineDiscoveryParts,
} from './brittle-engine-discovery.js';
import { type AnsweredRequest, EngineLimitDiscovery } from './engine-limit-discovery.js';
import type { GatewayContext } from './gateway-context.js';

/** The components that learn from notices. */
export interface NoticeDiscoveries {
  readonly limitDiscovery: EngineLimitDiscovery;
  readonly brittleness: BrittleEngineDiscovery;
}

/** Creates the components that learn from notices, which record what they learn in `health`. */
export function createNoticeDiscoveries({
  health: { limits, brittle: engines },
  ...parts
}: Omit<BrittleEngineDiscoveryParts, 'engines'> & {
  readonly health: EngineHealth;
}): NoticeDiscoveries {
  return {
    limitDiscovery: new EngineLimitDiscovery({ ...parts, limits }),
    brittleness: new BrittleEngineDiscovery({ ...parts, engines }),
  };
}

/** Applies the notice of one response. */
export function applyEngineNotice(
  answeredRequest: AnsweredRequest,
  notice: EngineNotice,
  { registry, health, limitDiscovery, brittleness, clock, statistics, logger }: GatewayContext,
): void {
  const { isLeaving, backoffMs, limitPerSecond, rejectionTolerance } = notice;
  const { unreadable, unknownHeaders } = notice;
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
  if (rejectionTolerance !== undefined)
    brittleness.recordTolerance(answeredRequest, rejectionTolerance);
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
