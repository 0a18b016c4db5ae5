/** What one router learns of engines' limits: from their answers, and from other routers, which it tells in turn. */
import type { EngineEndpoint } from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { EngineLimits, EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** What the news work with. */
export interface EngineLimitDiscoveryParts {
  readonly limits: EngineLimits;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The answer of an engine, by the request that it is to. */
export interface AnsweredRequest {
  readonly engine: EngineEndpoint;
  readonly requestId: string;
  /** When the request was sent, on the steady clock. */
  readonly sentMs: number;
}

/** The news of one router. */
export class EngineLimitDiscovery {
  constructor(private readonly parts: EngineLimitDiscoveryParts) {}

  /** What the next report to other routers carries. */
  get notices(): readonly EngineLimitAnnouncement[] {
    return this.parts.limits.notices(this.parts.clock.now());
  }

  /** An answer names a limit. */
  noteNamed({ engine, requestId }: AnsweredRequest, perSecond: number): void {
    const { limits, clock } = this.parts;
    if (!limits.noteNamed(engine.name, perSecond, clock.now())) return;
    this.logChange(perSecond, { engine: engine.id, request: requestId });
  }

  /** An engine answered a request itself; without effect where the answer has just named a limit. */
  noteUnnamed({ engine, requestId, sentMs }: AnsweredRequest): void {
    const { limits, clock } = this.parts;
    if (!limits.noteUnnamed(engine.name, sentMs, clock.now())) return;
    this.logChange(undefined, { engine: engine.id, request: requestId });
  }

  /** Another router tells what it has learnt. */
  receive(notice: EngineLimitAnnouncement): void {
    const { limits, clock } = this.parts;
    if (!limits.receive(notice, clock.now())) return;
    const { engineName, perSecond, ageMs } = notice;
    this.logChange(perSecond, { engine: engineName, found_by: 'router', age_ms: ageMs });
  }

  private logChange(perSecond: number | undefined, source: Record<string, string | number>): void {
    const { statistics, logger } = this.parts;
    statistics.limitChanges += 1;
    if (perSecond === undefined) logger.info('engine_limit_lifted', source);
    else logger.info('engine_limit', { ...source, per_second: perSecond });
  }
}
