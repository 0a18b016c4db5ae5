/**
 * Learns the rate limits of engines from their responses and from announcements of other routers.
 */
import type { EngineEndpoint } from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { EngineLimits, EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Dependencies of {@link EngineLimitDiscovery}. */
export interface EngineLimitDiscoveryParts {
  readonly limits: EngineLimits;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Identifies the request to which an engine responded. */
export interface AnsweredRequest {
  readonly engine: EngineEndpoint;
  readonly requestId: string;
  /** Monotonic time at which the request was sent. */
  readonly sentMs: number;
}

/** Tracks the rate limits of engines for one router. */
export class EngineLimitDiscovery {
  constructor(private readonly parts: EngineLimitDiscoveryParts) {}

  /** Announcements for the next report to other routers. */
  get announcements(): readonly EngineLimitAnnouncement[] {
    return this.parts.limits.announcements(this.parts.clock.now());
  }

  /** Records a limit that a response names. */
  recordLimit({ engine, requestId }: AnsweredRequest, perSecond: number): void {
    const { limits, clock } = this.parts;
    if (!limits.setLimit(engine.name, perSecond, clock.now())) return;
    this.logChange(perSecond, { engine: engine.id, request: requestId });
  }

  /** Records a response without a limit; no effect if the same response has just named one. */
  recordNoLimit({ engine, requestId, sentMs }: AnsweredRequest): void {
    const { limits, clock } = this.parts;
    if (!limits.recordNoLimit(engine.name, sentMs, clock.now())) return;
    this.logChange(undefined, { engine: engine.id, request: requestId });
  }

  /** Applies an announcement of another router. */
  receive(announcement: EngineLimitAnnouncement): void {
    const { limits, clock } = this.parts;
    if (!limits.receive(announcement, clock.now())) return;
    const { engineName, perSecond, ageMs } = announcement;
    this.logChange(perSecond, { engine: engineName, found_by: 'router', age_ms: ageMs });
  }

  private logChange(perSecond: number | undefined, source: Record<string, string | number>): void {
    const { statistics, logger } = this.parts;
    statistics.limitChanges += 1;
    if (perSecond === undefined) logger.info('engine_limit_lifted', source);
    else logger.info('engine_limit', { ...source, per_second: perSecond });
  }
}
