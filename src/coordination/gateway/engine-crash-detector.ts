/**
 * Detects engine crashes by lost connections: when a connection is lost during a request, the
 * router checks whether the engine still accepts connections, and again after a while unless it is
 * refused. The entry of a crashed engine lapses only seconds later. An engine that restarts at once
 * may accept connections before the check; then its new start time shows that the previous
 * incarnation crashed. Where all engines refuse connections, this router's own path may be the cause.
 * An engine has crashed then if its entry lapses, or if another engine appears at its address.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { type EngineEndpoint, ListenerState } from '../../protocol/inference/port.js';
import {
  BrokenRequestAction,
  type BrokenRequest,
  EngineCrashes,
} from '../../state/routing/engine-crashes.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** What shows that an engine crashed; a label in logs. */
enum CrashEvidence {
  /** It refuses connections, and others don't. */
  Refused = 'refused',
  /** A later incarnation was seen. */
  Restarted = 'restarted',
  /** It refused connections as all engines did, and its entry lapsed. */
  EntryLapsed = 'entry-lapsed',
  /** It refused connections as all engines did, and another engine is at its address. */
  AddressReused = 'address-reused',
}

/** An engine that crashed, and this router's requests that were running there. */
export interface EngineCrash {
  readonly engineId: string;
  /** Fingerprints of the requests; each may be the cause. */
  readonly fingerprints: readonly string[];
  /** When the first copy of each was sent, in the same order; monotonic, in milliseconds. */
  readonly sentMs: readonly number[];
  /** When the first connection broke; monotonic, in milliseconds. */
  readonly atMs: number;
  /** Fingerprints of prompt parts to which it was beginning to respond; each may be the cause. */
  readonly startingParts: readonly string[];
  /** When the first request with each of them was sent, in the same order; as {@link sentMs}. */
  readonly startingPartsSentMs: readonly number[];
}

/** A request whose connection to an engine was lost. */
export interface LostRequest {
  readonly fingerprint: string;
  /** See {@link BrokenRequest.startingParts}. */
  readonly startingParts: readonly string[];
  /** Time since the request was sent, in milliseconds. */
  readonly ranMs: number;
}

/** Dependencies of {@link EngineCrashDetector}. */
export interface CrashDetectorParts {
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Tests whether the engine's address accepts connections; reports a refusal as that of the engine
   * only if this router's own path is not its cause.
   */
  checkEngine(endpoint: EngineEndpoint): Promise<ListenerState>;
}

/** Time within which all connections of a terminating process are closed. */
export const PROCESS_EXIT_MS = 20;
/**
 * Delay before each check of an engine. Only a refusal is conclusive: the system may accept, reset or
 * ignore connections to a process for a while after it has begun to end.
 */
export const CHECK_DELAYS_MS: readonly number[] = [PROCESS_EXIT_MS, 100, 300];
/**
 * A connection lost sooner than a round trip between zones after the send was already closed, so
 * the request never ran. Prevents a request that is retried at another engine, which crashed at the
 * same time, from counting as the cause of both crashes.
 */
const MINIMUM_RUN_MS = 3;
/** Fingerprints per log line. */
const MAXIMUM_LOGGED_FINGERPRINTS = 16;

/** Detects the engine crashes that are visible to one router. */
export class EngineCrashDetector {
  private readonly crashes = new EngineCrashes();

  constructor(
    private readonly parts: CrashDetectorParts,
    private readonly onCrash: (crash: EngineCrash) => void,
  ) {}

  /**
   * Records that a connection was lost while the engine was running a request. An engine that is
   * draining or no longer listed was shutting down, which is not a crash.
   */
  recordConnectionLoss(engineId: string, lost: LostRequest): void {
    const { fingerprint, startingParts, ranMs } = lost;
    if (ranMs < MINIMUM_RUN_MS) return;
    const engine = this.parts.registry.find(engineId);
    const mayBeCrash = engine ? !engine.record.isDraining : this.crashes.isCrashed(engineId);
    if (!mayBeCrash) return;
    const { clock } = this.parts;
    const brokenMs = clock.wallNow();
    const sentMs = brokenMs - ranMs;
    const broken = { fingerprint, startingParts, sentMs, brokenMs, brokenAtMs: clock.now() };
    const action = this.crashes.recordBrokenRequest(engineId, broken);
    if (action === BrokenRequestAction.Crashed) this.onCrash(crashOf(engineId, [broken]));
    if (action !== BrokenRequestAction.NeedsCheck || !engine) return;
    void this.check(engine.record);
  }

  /**
   * Handles the restart of an engine. Its previous incarnation crashed while running its requests,
   * unless it was draining or the crash was already detected.
   *
   * @param startedAtMs start time of the later incarnation, in Unix milliseconds
   */
  handleRestart({ id, address, isDraining }: EngineRecord, startedAtMs: number): void {
    if (isDraining) return;
    const broken = this.crashes.recordRestart(id, startedAtMs);
    if (broken) this.noteCrash(crashOf(id, broken), address, CrashEvidence.Restarted);
  }

  /** Handles that the entry of an engine, which was not draining, has lapsed. */
  handleLapse({ id, address, isDraining }: EngineRecord): void {
    if (isDraining) this.crashes.forgetBrokenRequests(id);
    else this.noteGone(id, address, CrashEvidence.EntryLapsed);
  }

  /**
   * Handles an engine's entry: it shows a restart also if the entry of the previous incarnation lapsed
   * before, and that another engine at its address is gone.
   */
  handleEntry({ name, address, startedAtMs }: EngineRecord): void {
    for (const engineId of this.crashes.refusedAt(address, name))
      this.noteGone(engineId, address, CrashEvidence.AddressReused);
    const previous = this.crashes.unexplainedIncarnation(name, startedAtMs);
    if (previous === undefined || startedAtMs === undefined) return;
    const broken = this.crashes.recordRestart(previous, startedAtMs) ?? [];
    if (broken.length > 0)
      this.noteCrash(crashOf(previous, broken), address, CrashEvidence.Restarted);
  }

  private noteGone(engineId: string, address: string, evidence: CrashEvidence): void {
    const broken = this.crashes.recordGone(engineId, this.parts.clock.wallNow());
    if (broken.length > 0) this.noteCrash(crashOf(engineId, broken), address, evidence);
  }

  /** Checks the engine after each delay until a check is conclusive. */
  private async check({ id, name, address }: EngineRecord): Promise<void> {
    const { registry, clock, logger } = this.parts;
    let wasRefused = false;
    for (const delayMs of CHECK_DELAYS_MS) {
      await sleep(clock, delayMs);
      const state = await this.parts.checkEngine({ id, name, address });
      if (this.crashes.isCrashed(id)) return;
      if (registry.find(id)?.record.isDraining) {
        this.crashes.forgetBrokenRequests(id);
        return;
      }
      if (state === ListenerState.Refused) {
        this.noteCrash(crashOf(id, this.crashes.noteCrashed(id)), address, CrashEvidence.Refused);
        return;
      }
      wasRefused ||= state === ListenerState.RefusedUnverified;
      logger.info('engine_checked', { engine: id, address, state });
    }
    this.crashes.noteNotCrashed(id, wasRefused ? address : undefined);
  }

  private noteCrash(crash: EngineCrash, address: string, evidence: CrashEvidence): void {
    const { engineId, fingerprints, startingParts } = crash;
    const { statistics, logger } = this.parts;
    statistics.engineCrashes += 1;
    logger.warn('engine_crashed', {
      engine: engineId,
      address,
      evidence,
      broken_requests: fingerprints.length,
      fingerprints: fingerprints.slice(0, MAXIMUM_LOGGED_FINGERPRINTS).join(','),
      starting_parts: startingParts.slice(0, MAXIMUM_LOGGED_FINGERPRINTS).join(','),
    });
    if (fingerprints.length > 0) this.onCrash(crash);
  }
}

function crashOf(engineId: string, broken: readonly BrokenRequest[]): EngineCrash {
  const requests = new Map<string, number>();
  const parts = new Map<string, number>();
  for (const request of broken) {
    const { fingerprint, startingParts, sentMs, brokenMs, brokenAtMs } = request;
    const sentAtMs = brokenAtMs - (brokenMs - sentMs);
    noteFirst(requests, fingerprint, sentAtMs);
    for (const part of startingParts) noteFirst(parts, part, sentAtMs);
  }
  return {
    engineId,
    fingerprints: [...requests.keys()],
    sentMs: [...requests.values()],
    atMs: Math.min(...broken.map(({ brokenAtMs }) => brokenAtMs)),
    startingParts: [...parts.keys()],
    startingPartsSentMs: [...parts.values()],
  };
}

function noteFirst(firstMs: Map<string, number>, fingerprint: string, atMs: number): void {
  firstMs.set(fingerprint, Math.min(firstMs.get(fingerprint) ?? Infinity, atMs));
}
