/** The parts that keep requests away which crash engines, connected: detector, guard, store. */
import type { ObjectStorePort } from '../../protocol/object-store/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import type { QuarantinePolicy } from '../../state/routing/request-quarantine.js';
import { CrashGuard, type QuarantineSource } from './crash-guard.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import { EngineCrashDetector } from './engine-crash-detector.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import { QuarantineStore } from './quarantine-store.js';

/** What the protection works with. */
export interface CrashProtectionParts {
  readonly policy: QuarantinePolicy | undefined;
  /** Kind under which the store keeps requests in quarantine. */
  readonly kind: string;
  readonly store: ObjectStorePort;
  readonly engines: InferencePort;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Sends the other routers at once what is new. */
  announce(): void;
  /** Ends the calls of a request that entered quarantine. */
  endCalls(fingerprint: string): void;
}

/** What a router remembers of a request that broke with an engine, to show it to operators. */
export interface RequestDescription {
  readonly tenant: string;
  readonly route: string;
  readonly path: string;
}

/** Descriptions kept; a request whose description is gone is stored without one. */
const MAXIMUM_DESCRIPTIONS = 1_024;
/** What is not in the store after this time was not entered by the router that found it. */
const ENTERED_WITHIN_MS = 15_000;
const UNDESCRIBED: RequestDescription = { tenant: '', route: '', path: '' };

/** The protection of one router. */
export class CrashProtection {
  readonly guard: CrashGuard;
  private readonly detector: EngineCrashDetector;
  private readonly stored: QuarantineStore;
  private readonly descriptions = new Map<string, RequestDescription>();

  constructor(private readonly parts: CrashProtectionParts) {
    this.guard = new CrashGuard(parts);
    this.detector = new EngineCrashDetector(parts, (crash) => this.guard.noteCrash(crash));
    this.stored = new QuarantineStore({
      ...parts,
      events: {
        onStored: (fingerprint, ageMs) => this.noteStored(fingerprint, ageMs),
        onRemoved: (fingerprint) => this.guard.noteRemoved(fingerprint),
        onListed: (listed) => this.enterMissing(listed),
      },
    });
    this.guard.connect({
      onQuarantined: (fingerprint, source) => this.onQuarantined(fingerprint, source),
      onLifted: (fingerprint, source) => {
        if (source === 'own') this.stored.remove(fingerprint);
        else this.stored.withdraw(fingerprint);
      },
    });
  }

  start(): void {
    this.stored.start();
  }

  stop(): void {
    this.stored.stop();
  }

  /**
   * A connection on which an engine was running a request broke.
   *
   * @param ranMs time since the request was sent
   */
  noteBreak(
    engineId: string,
    fingerprint: string,
    ranMs: number,
    description: RequestDescription,
  ): void {
    if (this.descriptions.size >= MAXIMUM_DESCRIPTIONS) {
      const [oldest] = this.descriptions.keys();
      if (oldest !== undefined) this.descriptions.delete(oldest);
    }
    this.descriptions.set(fingerprint, description);
    this.detector.noteBreak(engineId, fingerprint, ranMs);
  }

  /** An engine has started again: its former life crashed, unless it was about to end. */
  noteReborn({ former, bornMs }: EngineRestart): void {
    this.detector.noteReborn(former, bornMs);
  }

  /** Forgets what is too old; call now and then. */
  expire(): void {
    this.guard.expire();
  }

  private onQuarantined(fingerprint: string, source: QuarantineSource): void {
    this.parts.endCalls(fingerprint);
    if (source === 'own') this.enter(fingerprint, 0);
  }

  /**
   * The router at which a request came to a good end need not have known it to be in quarantine, and then
   * leaves its object: whoever finds one that is overtaken removes it.
   */
  private noteStored(fingerprint: string, ageMs: number): void {
    if (!this.guard.noteStored(fingerprint, ageMs)) this.stored.remove(fingerprint);
  }

  /** The router that should have entered a request may have ended before. */
  private enterMissing(listed: ReadonlySet<string>): void {
    const now = this.parts.clock.now();
    for (const [fingerprint, sinceMs] of this.guard.quarantinedSince) {
      const ageMs = now - sinceMs;
      if (ageMs >= ENTERED_WITHIN_MS && !listed.has(fingerprint)) this.enter(fingerprint, ageMs);
    }
  }

  private enter(fingerprint: string, ageMs: number): void {
    this.stored.enter(fingerprint, {
      ...(this.descriptions.get(fingerprint) ?? UNDESCRIBED),
      engines: this.guard.crashedEngines(fingerprint),
      quarantinedAtMs: Math.round(this.parts.clock.wallNow() - ageMs),
    });
  }
}
