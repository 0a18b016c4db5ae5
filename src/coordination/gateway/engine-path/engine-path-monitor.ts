/**
 * Monitors whether this router can reach engines at all: observes its sends, and tests the path
 * with connections to several engines once they make an interruption likely.
 */
import { type Clock, type Timer, repeat } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import type { RandomSource } from '../../../runtime/random.js';
import { type InferencePort, ListenerState } from '../../../protocol/inference/port.js';
import {
  type DirectSend,
  EnginePath,
  EnginePathState,
  ProbeResult,
} from '../../../state/routing/engine-path.js';
import type { EngineRegistry } from '../../../state/routing/engine-registry.js';
import { choosePathProbes } from '../../../state/routing/path-probe-choice.js';
import type { GatewayStatistics } from '../gateway-statistics.js';

/** Dependencies of {@link EnginePathMonitor}. */
export interface EnginePathParts {
  readonly engines: InferencePort;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

const CHECK_PERIOD_MS = 100;
/** Engines that are probed at the same time. */
const PROBED_ENGINES = 4;
/** While the path is interrupted, fewer probes suffice, because they are repeated. */
const PROBED_ENGINES_WHILE_INTERRUPTED = 2;

const PROBE_RESULTS: Record<ListenerState, ProbeResult> = {
  [ListenerState.Listening]: ProbeResult.Connected,
  [ListenerState.Refused]: ProbeResult.Refused,
  [ListenerState.Unresponsive]: ProbeResult.TimedOut,
};

/** The path of one router to its engines. */
export class EnginePathMonitor {
  /** Called after each change of the state. */
  onChanged: () => void = () => undefined;
  private readonly path = new EnginePath();
  private timer: Timer | undefined;
  private isProbing = false;

  constructor(private readonly parts: EnginePathParts) {}

  start(): void {
    this.timer = repeat(this.parts.clock, CHECK_PERIOD_MS, () => {
      if (!this.isProbing && this.path.isProbeDue(this.now)) void this.probe();
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  get state(): EnginePathState {
    return this.path.state;
  }

  /** Observes a send over a direct connection. */
  observe(engineId: string): ObservedSend {
    return new ObservedSend(engineId, this.path, this.parts.clock);
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  private async probe(): Promise<void> {
    const { engines, registry, random, statistics } = this.parts;
    const count = this.path.isOpen ? PROBED_ENGINES : PROBED_ENGINES_WHILE_INTERRUPTED;
    const probed = choosePathProbes(registry.readyRecords, count, random);
    if (probed.length === 0) return;
    statistics.enginePathProbes += probed.length;
    this.isProbing = true;
    try {
      const states = await Promise.all(probed.map((engine) => engines.checkListener(engine)));
      this.apply(states.map((state) => PROBE_RESULTS[state]));
    } finally {
      this.isProbing = false;
    }
  }

  private apply(results: readonly ProbeResult[]): void {
    const before = this.path.state;
    const evidence = {
      suspicion: this.path.isOpen ? this.path.suspicion(this.now) : undefined,
      failed_engines: this.path.failedEngineCount,
      silence_ms: Math.round(this.path.silenceMs(this.now)),
      connected: countOf(results, ProbeResult.Connected),
      refused: countOf(results, ProbeResult.Refused),
      timed_out: countOf(results, ProbeResult.TimedOut),
    };
    const beforeForMs = Math.round(this.now - this.path.sinceMs);
    const isChanged = this.path.applyProbes(results, this.now);
    const { logger, statistics } = this.parts;
    if (!isChanged) {
      if (this.path.isOpen) logger.info('engine_path_probed', evidence);
      return;
    }
    const { state } = this.path;
    if (before === EnginePathState.Open) statistics.enginePathsLost += 1;
    logger.warn('engine_path_changed', { state, before, before_for_ms: beforeForMs, ...evidence });
    this.onChanged();
  }
}

/** A send over a direct connection, as evidence on the path. */
export class ObservedSend {
  private readonly send: DirectSend;

  constructor(
    engineId: string,
    private readonly path: EnginePath,
    private readonly clock: Clock,
  ) {
    this.send = path.open(engineId, clock.now());
  }

  /** Records that a new connection was opened for the send. */
  noteNewConnection(): void {
    this.path.noteConnected();
  }

  /** Records that something was received from the engine. */
  noteReceived(): void {
    this.path.noteReceived(this.clock.now());
  }

  /** Records that no connection could be opened for the send. */
  noteConnectFailure(): void {
    this.path.noteConnectFailure(this.send.engineId, this.clock.now());
  }

  /** Records the end of the send. */
  close(): void {
    this.path.close(this.send);
  }
}

function countOf(results: readonly ProbeResult[], wanted: ProbeResult): number {
  return results.filter((result) => result === wanted).length;
}
