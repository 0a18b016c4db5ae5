/**
 * Judges whether this router can reach engines at all. Failures at one engine are that engine's;
 * failures at engine after engine, or silence from all of them, raise the suspicion that the
 * router's own path is interrupted, which probes of several engines then confirm or refute. Pure;
 * times are monotonic, in milliseconds.
 */

/** State of this router's path to the engines. */
export enum EnginePathState {
  /** New connections can be opened. */
  Open = 'open',
  /** No new connection can be opened; open ones may still work. */
  Refusing = 'refusing',
  /** Neither new nor open connections carry anything. */
  Silent = 'silent',
}

/** Result of a connection attempt that tests the path. */
export enum ProbeResult {
  Connected = 'connected',
  /** The attempt was refused or reset. */
  Refused = 'refused',
  TimedOut = 'timed-out',
}

/** A connection attempt to one engine. */
export interface EngineProbe {
  readonly engineId: string;
  readonly result: ProbeResult;
}

/** Why the path is suspected to be interrupted. */
export type PathSuspicion = 'connections-failed' | 'silence' | 'idle-check-failed';

/** What the next probes are for. */
export enum ProbePurpose {
  /** To check the path of a router without traffic. */
  IdleCheck = 'idle-check',
  /** To confirm or refute a suspicion. */
  Suspicion = 'suspicion',
  /** To find out whether an interrupted path works again. */
  Recovery = 'recovery',
}

/** One request that was sent to an engine directly and whose response is not complete. */
export interface DirectSend {
  readonly engineId: string;
  readonly sentMs: number;
}

/** Number of engines that fail in a row before the path is suspected, unless a service has fewer. */
const SUSPICIOUS_ENGINES = 2;
/** A failed connection counts for this long. */
const FAILURE_WINDOW_MS = 2_000;
/** Requests are in progress and nothing has been received from any engine for this long. */
const SUSPICIOUS_SILENCE_MS = 700;
/** Timed-out probes show that open connections are silent too if nothing was received for this long. */
const SILENCE_DURING_PROBES_MS = 300;
/** Minimum number of engines whose failed probes show that the path is interrupted. */
const MINIMUM_PROBED_ENGINES = 2;
/** Without anything from engines for this long, a few probes show whether the path still works. */
const IDLE_CHECK_MS = 1_500;
/** After probes have refuted a suspicion, the next ones wait for this long. */
const REFUTED_PAUSE_MS = 1_000;
const INTERRUPTED_PROBE_PERIOD_MS = 250;
/** Rounds of probes that must succeed one after another before the path is open again. */
const ROUNDS_TO_REOPEN = 2;
/** A path that is interrupted again so soon needs twice the number of successful rounds. */
const RELAPSE_MS = 10_000;
const MAXIMUM_ROUNDS_TO_REOPEN = 8;

/** The path of one router. */
export class EnginePath {
  private current = EnginePathState.Open;
  /** Engines that could not be connected to since the last new connection, with the time. */
  private readonly failedEngines = new Map<string, number>();
  /** In order of their sends. */
  private readonly sends = new Set<DirectSend>();
  private receivedMs = -Infinity;
  /** When something last showed that the path works; Infinity before this router has used it. */
  private workingMs = Infinity;
  private hasIdleCheckFailed = false;
  /** The last two engines that responded over a direct connection, the latest first. */
  private respondingEngines: readonly string[] = [];
  private nextProbeMs = -Infinity;
  private roundsToReopen = ROUNDS_TO_REOPEN;
  private successfulRounds = 0;
  private reopenedMs = -Infinity;
  private changedMs = 0;

  get state(): EnginePathState {
    return this.current;
  }

  get isOpen(): boolean {
    return this.current === EnginePathState.Open;
  }

  /** Time of the last change of the state. */
  get sinceMs(): number {
    return this.changedMs;
  }

  /** Number of engines that could not be connected to since the last new connection. */
  get failedEngineCount(): number {
    return this.failedEngines.size;
  }

  /** Records a send over a direct connection. Returns the handle for {@link close}. */
  open(engineId: string, nowMs: number): DirectSend {
    const send = { engineId, sentMs: nowMs };
    this.sends.add(send);
    return send;
  }

  close(send: DirectSend): void {
    this.sends.delete(send);
  }

  /** Records that a new connection was opened. */
  noteConnected(nowMs: number): void {
    this.failedEngines.clear();
    this.workingMs = nowMs;
  }

  noteConnectFailure(engineId: string, nowMs: number): void {
    this.failedEngines.set(engineId, nowMs);
  }

  /** Records that something was received from an engine over a direct connection. */
  noteReceived(engineId: string, nowMs: number): void {
    this.receivedMs = nowMs;
    this.workingMs = nowMs;
    this.noteResponding(engineId);
  }

  /**
   * Engines that responded last. If these can't be connected to either, the path is interrupted
   * rather than most engines down.
   */
  get lastResponding(): readonly string[] {
    return this.respondingEngines;
  }

  /** Time without anything received while requests were in progress; 0 if there are none. */
  silenceMs(nowMs: number): number {
    const [oldest] = this.sends;
    return oldest ? nowMs - Math.max(oldest.sentMs, this.receivedMs) : 0;
  }

  /**
   * Why the open path is suspected to be interrupted; undefined if it isn't.
   *
   * @param services engines by service
   */
  suspicion(nowMs: number, services: Iterable<readonly string[]> = []): PathSuspicion | undefined {
    for (const [engineId, failedMs] of this.failedEngines) {
      if (nowMs - failedMs > FAILURE_WINDOW_MS) this.failedEngines.delete(engineId);
    }
    if (this.failedEngines.size >= SUSPICIOUS_ENGINES) return 'connections-failed';
    if (this.failedEngines.size > 0) {
      for (const engineIds of services) {
        if (this.haveAllFailed(engineIds)) return 'connections-failed';
      }
    }
    if (this.silenceMs(nowMs) >= SUSPICIOUS_SILENCE_MS) return 'silence';
    return this.hasIdleCheckFailed ? 'idle-check-failed' : undefined;
  }

  /**
   * What engines should be probed for now; undefined if they should not.
   *
   * @param services engines by service
   */
  dueProbe(nowMs: number, services: Iterable<readonly string[]> = []): ProbePurpose | undefined {
    if (nowMs < this.nextProbeMs) return undefined;
    if (!this.isOpen) return ProbePurpose.Recovery;
    if (this.suspicion(nowMs, services) !== undefined) return ProbePurpose.Suspicion;
    return nowMs - this.workingMs >= IDLE_CHECK_MS ? ProbePurpose.IdleCheck : undefined;
  }

  /**
   * Applies the results of probes of different engines, made at the same time.
   *
   * @returns whether the state changed
   */
  applyProbes(purpose: ProbePurpose, probes: readonly EngineProbe[], nowMs: number): boolean {
    const connected = probes.filter(({ result }) => result === ProbeResult.Connected);
    for (const { engineId } of connected) this.noteResponding(engineId);
    if (connected.length > 0 && this.workingMs < nowMs) this.workingMs = nowMs;
    const results = probes.map(({ result }) => result);
    const before = this.current;
    this.hasIdleCheckFailed = false;
    if (purpose === ProbePurpose.IdleCheck && this.isOpen)
      this.hasIdleCheckFailed = results.length > 0 && connected.length === 0;
    else if (this.isOpen) this.judgeSuspicion(results, connected.length > 0, nowMs);
    else this.judgeRecovery(results, connected.length > 0, nowMs);
    if (this.current === before) return false;
    this.changedMs = nowMs;
    return true;
  }

  private haveAllFailed(engineIds: readonly string[]): boolean {
    return engineIds.length > 0 && engineIds.every((id) => this.failedEngines.has(id));
  }

  private noteResponding(engineId: string): void {
    const [latest] = this.respondingEngines;
    if (latest === engineId) return;
    this.respondingEngines = latest === undefined ? [engineId] : [engineId, latest];
  }

  private judgeSuspicion(
    results: readonly ProbeResult[],
    isAnyConnected: boolean,
    nowMs: number,
  ): void {
    this.nextProbeMs = nowMs + REFUTED_PAUSE_MS;
    this.failedEngines.clear();
    if (isAnyConnected || results.length < MINIMUM_PROBED_ENGINES) return;
    const isRelapse = nowMs - this.reopenedMs < RELAPSE_MS;
    this.roundsToReopen = isRelapse
      ? Math.min(MAXIMUM_ROUNDS_TO_REOPEN, this.roundsToReopen * 2)
      : ROUNDS_TO_REOPEN;
    this.nextProbeMs = nowMs + INTERRUPTED_PROBE_PERIOD_MS;
    this.successfulRounds = 0;
    this.current = this.interruptedState(results, nowMs);
  }

  /** One engine that can be connected to suffices: the others may be down. */
  private judgeRecovery(
    results: readonly ProbeResult[],
    isAnyConnected: boolean,
    nowMs: number,
  ): void {
    this.nextProbeMs = nowMs + INTERRUPTED_PROBE_PERIOD_MS;
    if (!isAnyConnected) {
      this.successfulRounds = 0;
      this.current = this.interruptedState(results, nowMs);
      return;
    }
    this.successfulRounds += 1;
    if (this.successfulRounds < this.roundsToReopen) return;
    this.current = EnginePathState.Open;
    this.reopenedMs = nowMs;
  }

  /** Failed new connections leave open ones working, unless those are silent too. */
  private interruptedState(results: readonly ProbeResult[], nowMs: number): EnginePathState {
    if (this.current === EnginePathState.Silent) return EnginePathState.Silent;
    const isTimeout = results.includes(ProbeResult.TimedOut);
    const limitMs = isTimeout ? SILENCE_DURING_PROBES_MS : SUSPICIOUS_SILENCE_MS;
    const isSilent = isTimeout && this.sends.size === 0;
    return isSilent || this.silenceMs(nowMs) >= limitMs
      ? EnginePathState.Silent
      : EnginePathState.Refusing;
  }
}
