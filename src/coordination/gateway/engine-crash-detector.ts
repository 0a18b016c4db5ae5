/**
 * Finds engines that crashed by the requests that broke with them: a router that sees a connection break
 * asks once whether the engine still accepts connections. The entry of a crashed engine lapses seconds
 * later, so the list of engines alone shows it too late. An engine that starts again at once accepts
 * connections before it is asked; then its new start shows that the former life crashed.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { type InferencePort, ListenerState } from '../../protocol/inference/port.js';
import { BreakFinding, EngineCrashes } from '../../state/routing/engine-crashes.js';
import { parseIncarnation } from '../../state/routing/engine-incarnation.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** An engine that crashed, and the requests of this router that broke with it. */
export interface EngineCrash {
  readonly engineId: string;
  /** Each may be the cause. */
  readonly fingerprints: readonly string[];
}

/** What a detector works with. */
export interface CrashDetectorParts {
  readonly engines: InferencePort;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Within this time all connections of a process that ends are closed: 1.4 ms for nine streams, observed. */
const CHECK_DELAY_MS = 20;
/**
 * A connection that breaks sooner after a send than a round trip between zones takes was gone before: the
 * request never ran. Without this a request that is repeated over a connection of another engine that
 * crashed in the same moment counts as broken by both.
 */
const SHORTEST_RUN_MS = 3;
/** Fingerprints in one log line. */
const MAXIMUM_LOGGED = 16;

/** The crashes that one router sees. */
export class EngineCrashDetector {
  private readonly crashes = new EngineCrashes();

  constructor(
    private readonly parts: CrashDetectorParts,
    private readonly onCrash: (crash: EngineCrash) => void,
  ) {}

  /**
   * A connection on which an engine was running a request broke. An engine that drains, or whose entry is
   * gone, was about to end: that is no crash.
   *
   * @param ranMs time since the request was sent
   */
  noteBreak(engineId: string, fingerprint: string, ranMs: number): void {
    if (ranMs < SHORTEST_RUN_MS) return;
    const engine = this.parts.registry.find(engineId);
    const mayCrash = engine ? !engine.record.isDraining : this.crashes.isCrashed(engineId);
    if (!mayCrash) return;
    const brokenMs = this.parts.clock.wallNow();
    const broken = { fingerprint, sentMs: brokenMs - ranMs, brokenMs };
    const finding = this.crashes.noteBreak(engineId, broken);
    if (finding === BreakFinding.Crashed) this.onCrash({ engineId, fingerprints: [fingerprint] });
    if (finding !== BreakFinding.NeedsCheck || !engine) return;
    const { address } = engine.record;
    this.parts.clock.setTimer(CHECK_DELAY_MS, () => void this.check(engineId, address));
  }

  /**
   * A life of an engine is over, since a later one has begun. Unless it was about to end, or was found
   * crashed before, it crashed under the requests that it was running.
   *
   * @param bornMs start of the later life, Unix milliseconds
   */
  noteReborn({ id, address, isDraining }: EngineRecord, bornMs: number): void {
    if (isDraining) return;
    const fingerprints = this.crashes.noteReborn(id, bornMs);
    if (fingerprints) this.noteCrash({ engineId: id, fingerprints }, address);
  }

  private async check(engineId: string, address: string): Promise<void> {
    const { engines, logger } = this.parts;
    const { name } = parseIncarnation(engineId);
    const state = await engines.checkListener({ id: engineId, name, address });
    if (this.crashes.isCrashed(engineId)) return;
    if (state !== ListenerState.Refused) {
      this.crashes.noteNotCrashed(engineId);
      logger.info('engine_checked', { engine: engineId, address, state });
      return;
    }
    this.noteCrash({ engineId, fingerprints: this.crashes.noteCrashed(engineId) }, address);
  }

  private noteCrash({ engineId, fingerprints }: EngineCrash, address: string): void {
    const { statistics, logger } = this.parts;
    statistics.engineCrashes += 1;
    logger.warn('engine_crashed', {
      engine: engineId,
      address,
      broken_requests: fingerprints.length,
      fingerprints: fingerprints.slice(0, MAXIMUM_LOGGED).join(','),
    });
    if (fingerprints.length > 0) this.onCrash({ engineId, fingerprints });
  }
}
