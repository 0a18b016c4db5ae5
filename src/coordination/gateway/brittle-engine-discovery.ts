/**
 * Learns from responses, and from announcements of other routers, which engines are brittle: they
 * fail when they have to reject too many requests in a second.
 */
import type { EngineEndpoint } from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type {
  BrittleEngineAnnouncement,
  BrittleEngines,
} from '../../state/routing/brittle-engines.js';
import type { AnsweredRequest } from './engine-limit-discovery.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Dependencies of {@link BrittleEngineDiscovery}. */
export interface BrittleEngineDiscoveryParts {
  readonly engines: BrittleEngines;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sends new announcements to the other routers immediately. */
  announce(): void;
}

/** Tracks brittle engines for one router. */
export class BrittleEngineDiscovery {
  constructor(private readonly parts: BrittleEngineDiscoveryParts) {}

  /** Announcements for the next report to other routers. */
  get announcements(): readonly BrittleEngineAnnouncement[] {
    return this.parts.engines.announcements(this.parts.clock.now());
  }

  /** Records the number of rejections in a second that a response states as tolerated. */
  recordTolerance({ engine, requestId }: AnsweredRequest, tolerance: number): void {
    const { engines, clock } = this.parts;
    if (!engines.setTolerance(engine.name, tolerance, clock.now())) return;
    this.logChange(tolerance, { engine: engine.id, request: requestId });
  }

  /** Records a response without a tolerance; no effect if the same response has just stated one. */
  recordNoTolerance({ engine, requestId, sentMs }: AnsweredRequest): void {
    const { engines, clock } = this.parts;
    if (!engines.recordNoTolerance(engine.name, sentMs, clock.now())) return;
    this.logChange(undefined, { engine: engine.id, request: requestId });
  }

  /** Records that an engine rejected a request for want of room. */
  recordRejection(engine: EngineEndpoint): void {
    const { engines, clock, statistics, logger } = this.parts;
    if (!engines.noteRejection(engine.name, clock.now())) return;
    statistics.brittleEngineRejections += 1;
    logger.info('brittle_engine_rejected', { engine: engine.id });
    this.parts.announce();
  }

  /** Applies an announcement; returns true if it should be relayed without delay. */
  receive(announcement: BrittleEngineAnnouncement): boolean {
    const { engines, clock } = this.parts;
    const { engineName, ageMs } = announcement;
    const before = engines.tolerance(engineName);
    const isNewRejection = engines.receive(announcement, clock.now());
    const tolerance = engines.tolerance(engineName);
    if (tolerance !== before)
      this.logChange(tolerance, { engine: engineName, found_by: 'router', age_ms: ageMs });
    return isNewRejection;
  }

  private logChange(tolerance: number | undefined, source: Record<string, string | number>): void {
    if (tolerance === undefined) this.parts.logger.info('engine_not_brittle', source);
    else this.parts.logger.info('engine_brittle', { ...source, tolerated_rejections: tolerance });
  }
}
