/**
 * Connects the components that protect engines from requests and prompt parts that crash them:
 * detector, guards, store.
 */
import type { ObjectStorePort } from '../../protocol/object-store/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { EngineEndpoint, ListenerState } from '../../protocol/inference/port.js';
import { createBoundedCache } from '../../state/bounded-cache.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { SuspectAnnouncements } from '../../state/routing/crash-announcement-queue.js';
import {
  DEFAULT_PART_QUARANTINE_POLICY,
  DEFAULT_REQUEST_QUARANTINE_POLICY,
  type QuarantinePolicy,
} from '../../state/routing/quarantine-policy.js';
import { CrashGuard, CrashSubject } from './crash-guard.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import {
  type EngineCrash,
  EngineCrashDetector,
  type LostRequest,
} from './engine-crash-detector.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import { QuarantineStore, type StoredQuarantine } from './quarantine-store.js';

/** Dependencies of {@link CrashProtection}. */
export interface CrashProtectionParts {
  /** For requests. */
  readonly policy: QuarantinePolicy | undefined;
  /** For prompt parts. */
  readonly partPolicy: QuarantinePolicy | undefined;
  /** Object kind of quarantined requests and prompt parts in the store. */
  readonly kind: string;
  readonly store: ObjectStorePort;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Sends new announcements to the other routers immediately. */
  announce(): void;
  /** See {@link CrashGuardParts.trialRank}. */
  trialRank?(fingerprint: string): number;
  /** See {@link CrashDetectorParts.checkEngine}. */
  checkEngine(endpoint: EngineEndpoint): Promise<ListenerState>;
  /** Aborts the calls of a request, or with a prompt part, that was quarantined. */
  endCalls(subject: CrashSubject, fingerprint: string): void;
}

/** Description, for operators, of a request whose connection to an engine was lost. */
export interface RequestDescription {
  readonly tenant: string;
  readonly route: string;
  readonly path: string;
}

/** A prompt part that is shared by prompts. */
export interface SharedPart {
  readonly id: string;
  readonly fingerprint: string;
}

/** Remembered descriptions; a request whose description was dropped is stored without one. */
const MAXIMUM_DESCRIPTIONS = 1_024;
/** After this time, the router that quarantined a request is assumed to have failed to store it. */
const ADDED_WITHIN_MS = 15_000;
const NO_DESCRIPTION: RequestDescription = { tenant: '', route: '', path: '' };
const SUBJECTS = [CrashSubject.Request, CrashSubject.PromptPart];

/** Description of a subject, for operators. */
type SubjectDescription = RequestDescription & { readonly promptPart?: string };

/** The crash protection of one router. */
export class CrashProtection {
  /** Tracks requests, by {@link fingerprintOf}. */
  readonly guard: CrashGuard;
  /** Tracks prompt parts, by {@link promptPartFingerprintOf}. */
  readonly partGuard: CrashGuard;
  private readonly detector: EngineCrashDetector;
  private readonly quarantineStore: QuarantineStore;
  private readonly descriptions = createBoundedCache<string, SubjectDescription>(
    MAXIMUM_DESCRIPTIONS,
  );

  constructor(private readonly parts: CrashProtectionParts) {
    const {
      policy = DEFAULT_REQUEST_QUARANTINE_POLICY,
      partPolicy = DEFAULT_PART_QUARANTINE_POLICY,
    } = parts;
    this.guard = new CrashGuard({ ...parts, subject: CrashSubject.Request, policy });
    this.partGuard = new CrashGuard({
      ...parts,
      subject: CrashSubject.PromptPart,
      policy: partPolicy,
      // A request that is sent again and again brings sound parts along.
      relatedCrashes: (engineIds) => this.guard.crashesOfOneSubject(engineIds),
    });
    this.detector = new EngineCrashDetector(parts, (crash) => this.noteCrash(crash));
    this.quarantineStore = new QuarantineStore({
      ...parts,
      events: {
        onStored: (stored) => this.noteStored(stored),
        onRemoved: (fingerprint) => {
          for (const subject of SUBJECTS) this.guardOf(subject).noteRemoved(fingerprint);
        },
        onListed: (listed) => this.addMissing(listed),
      },
    });
    for (const subject of SUBJECTS) this.connectGuard(subject);
  }

  start(): void {
    this.quarantineStore.start();
  }

  stop(): void {
    this.quarantineStore.stop();
  }

  /** Whether there are announcements to send to the other routers. */
  get hasAnnouncements(): boolean {
    return this.guard.hasAnnouncements || this.partGuard.hasAnnouncements;
  }

  /** Returns the announcements for the next report to other routers. */
  takeAnnouncements(): SuspectAnnouncements {
    return {
      requests: this.guard.takeAnnouncements(),
      promptParts: this.partGuard.takeAnnouncements(),
    };
  }

  /** Applies announcements of another router; see {@link CrashGuard.receive}. */
  receive({ requests, promptParts }: SuspectAnnouncements, isRelayed: boolean): boolean {
    const isUrgentRequest = this.guard.receive(requests, isRelayed);
    const isUrgentPart = this.partGuard.receive(promptParts, isRelayed);
    return isUrgentRequest || isUrgentPart;
  }

  /** Records that a connection was lost while the engine was running a request. */
  recordConnectionLoss(
    engineId: string,
    lost: LostRequest,
    description: RequestDescription,
    sharedParts: readonly SharedPart[],
  ): void {
    this.describe(lost.fingerprint, description);
    for (const { id, fingerprint } of sharedParts)
      this.describe(fingerprint, { ...description, promptPart: id });
    this.detector.recordConnectionLoss(engineId, lost);
  }

  /** Handles an engine's restart: its previous incarnation crashed unless it was draining. */
  handleRestart({ previous, startedAtMs }: EngineRestart): void {
    this.detector.handleRestart(previous, startedAtMs);
  }

  /** Handles an engine's entry; see {@link EngineCrashDetector.handleEntry}. */
  handleEntry(record: EngineRecord): void {
    this.detector.handleEntry(record);
  }

  /** Handles that an engine's entry has lapsed; see {@link EngineCrashDetector.handleLapse}. */
  handleLapse(record: EngineRecord): void {
    this.detector.handleLapse(record);
  }

  /** Drops expired records; must be called periodically. */
  expire(): void {
    for (const subject of SUBJECTS) this.guardOf(subject).expire();
  }

  private guardOf(subject: CrashSubject): CrashGuard {
    return subject === CrashSubject.Request ? this.guard : this.partGuard;
  }

  private connectGuard(subject: CrashSubject): void {
    this.guardOf(subject).connect({
      onQuarantined: (fingerprint, source) => {
        this.parts.endCalls(subject, fingerprint);
        if (source === 'own') this.addToStore(subject, fingerprint, 0);
      },
      onLifted: (fingerprint, source) => {
        if (source === 'own') this.quarantineStore.remove(fingerprint);
        else this.quarantineStore.cancelAdd(fingerprint);
      },
    });
  }

  private noteCrash(crash: EngineCrash): void {
    const { engineId, fingerprints, sentMs, atMs, startingParts, startingPartsSentMs } = crash;
    this.guard.noteCrash({ engineId, fingerprints, sentMs, atMs });
    this.partGuard.noteCrash({
      engineId,
      fingerprints: startingParts,
      sentMs: startingPartsSentMs,
    });
  }

  private describe(fingerprint: string, description: SubjectDescription): void {
    this.descriptions.set(fingerprint, description);
  }

  /**
   * Removes the object of a subject that was cleared since. The router that completed the request
   * may not have known of the quarantine, so any router that lists the object removes it.
   */
  private noteStored({ subject, fingerprint, ageMs, isConfirmed }: StoredQuarantine): void {
    const isQuarantined = this.guardOf(subject).noteStored(fingerprint, ageMs, isConfirmed);
    if (!isQuarantined) this.quarantineStore.remove(fingerprint);
  }

  /** Stores quarantined subjects that are missing in case the responsible router has stopped. */
  private addMissing(listed: ReadonlySet<string>): void {
    const now = this.parts.clock.now();
    for (const subject of SUBJECTS) {
      const guard = this.guardOf(subject);
      for (const [fingerprint, sinceMs] of guard.quarantinedSince) {
        const ageMs = now - sinceMs;
        const isMissing = guard.isConfirmed(fingerprint) && !listed.has(fingerprint);
        if (isMissing && ageMs >= ADDED_WITHIN_MS) this.addToStore(subject, fingerprint, ageMs);
      }
    }
  }

  private addToStore(subject: CrashSubject, fingerprint: string, ageMs: number): void {
    this.quarantineStore.add(fingerprint, {
      ...(this.descriptions.get(fingerprint) ?? NO_DESCRIPTION),
      subject,
      engines: this.guardOf(subject).crashedEngines(fingerprint),
      quarantinedAtMs: Math.round(this.parts.clock.wallNow() - ageMs),
      isConfirmed: true,
    });
  }
}
