/**
 * Monitors whether this router can reach engines at all: observes its sends, and tests the path
 * with connections to several engines once they make an interruption likely.
 */
import { type Clock, type Timer, repeat } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import { type InferencePort, ListenerState } from '../../../protocol/inference/port.js';
import {
  type DirectSend,
  EnginePath,
  EnginePathState,
  type EngineProbe,
  ProbePurpose,
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
  readonly logger: Logger;
  /** Differs between routers, so that they probe different engines. */
  readonly firstTurn: number;
}

const CHECK_PERIOD_MS = 100;
/** Engines that are probed at the same time. Probes for recovery are repeated. */
const PROBED_ENGINES: Record<ProbePurpose, number> = {
  [ProbePurpose.IdleCheck]: 2,
  [ProbePurpose.Suspicion]: 5,
  [ProbePurpose.Recovery]: 3,
};

const PROBE_RESULTS: Record<ListenerState, ProbeResult> = {
  [ListenerState.Listening]: ProbeResult.Connected,
  [ListenerState.Refused]: ProbeResult.Refused,
  [ListenerState.RefusedUnverified]: ProbeResult.Refused,
  [ListenerState.Unresponsive]: ProbeResult.TimedOut,
};

/** The path of one router to its engines. */
export class EnginePathMonitor {
  /** Called after each change of the state, and after each probe while the path is interrupted. */
  onProbed: (isChanged: boolean) => void = () => undefined;
  private readonly path = new EnginePath();
  private timer: Timer | undefined;
  private probing: Promise<void> | undefined;
  private probingFor: ProbePurpose | undefined;
  private turn: number;

  constructor(private readonly parts: EnginePathParts) {
    this.turn = parts.firstTurn;
  }

  start(): void {
    this.timer = repeat(this.parts.clock, CHECK_PERIOD_MS, () => {
      const purpose = this.path.dueProbe(this.now, this.services);
      if (purpose !== undefined) void this.probe(purpose);
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  get state(): EnginePathState {
    return this.path.state;
  }

  /** Records the result of a direct connection that was opened for another router. */
  noteConnection(engineId: string, isSuccess: boolean): void {
    if (isSuccess) this.path.noteConnected(this.now);
    else this.path.noteConnectFailure(engineId, this.now);
  }

  /** Tests the path now. Resolves with whether engines can be reached. */
  async verify(): Promise<boolean> {
    // Probes of an idle check draw no conclusion.
    if (this.probingFor === ProbePurpose.IdleCheck) await this.probing;
    await this.probe(this.path.isOpen ? ProbePurpose.Suspicion : ProbePurpose.Recovery);
    return this.path.isOpen;
  }

  /** Observes a send over a direct connection. */
  observe(engineId: string): ObservedSend {
    return new ObservedSend(engineId, this.path, this.parts.clock);
  }

  /** Engines by service; not needed without failed connections. */
  private get services(): string[][] {
    return this.path.failedEngineCount === 0 ? [] : this.parts.registry.readyIdsByService;
  }

  private get now(): number {
    return this.parts.clock.now();
  }

  /** Probes engines; at most once at a time. */
  private probe(purpose: ProbePurpose): Promise<void> {
    if (this.probing) return this.probing;
    this.probingFor = purpose;
    this.probing = this.probeEngines(purpose).finally(() => {
      this.probing = undefined;
      this.probingFor = undefined;
    });
    return this.probing;
  }

  private async probeEngines(purpose: ProbePurpose): Promise<void> {
    const { engines, registry, statistics } = this.parts;
    const count = PROBED_ENGINES[purpose];
    const { lastResponding } = this.path;
    this.turn += 1;
    const probed = choosePathProbes(registry.readyRecords, lastResponding, count, this.turn);
    if (probed.length === 0) return;
    statistics.enginePathProbes += probed.length;
    const probes = probed.map(async (engine) => {
      const state = await engines.checkListener(engine);
      return { engineId: engine.id, result: PROBE_RESULTS[state] };
    });
    this.apply(purpose, await Promise.all(probes));
  }

  private apply(purpose: ProbePurpose, probes: readonly EngineProbe[]): void {
    const before = this.path.state;
    const evidence = {
      purpose,
      suspicion: this.path.isOpen ? this.path.suspicion(this.now, this.services) : undefined,
      failed_engines: this.path.failedEngineCount,
      silence_ms: Math.round(this.path.silenceMs(this.now)),
      connected: countOf(probes, ProbeResult.Connected),
      refused: countOf(probes, ProbeResult.Refused),
      timed_out: countOf(probes, ProbeResult.TimedOut),
    };
    const beforeForMs = Math.round(this.now - this.path.sinceMs);
    const isChanged = this.path.applyProbes(purpose, probes, this.now);
    const { logger, statistics } = this.parts;
    const { state, isOpen } = this.path;
    if (isChanged) {
      if (before === EnginePathState.Open) statistics.enginePathsLost += 1;
      const change = { state, before, before_for_ms: beforeForMs };
      logger.warn('engine_path_changed', { ...change, ...evidence });
    } else if (isOpen && purpose !== ProbePurpose.IdleCheck)
      logger.info('engine_path_probed', evidence);
    if (isChanged || !isOpen) this.onProbed(isChanged);
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
    this.path.noteConnected(this.clock.now());
  }

  /** Records that something was received from the engine. */
  noteReceived(): void {
    this.path.noteReceived(this.send.engineId, this.clock.now());
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

function countOf(probes: readonly EngineProbe[], wanted: ProbeResult): number {
  return probes.filter(({ result }) => result === wanted).length;
}
