/** The engines of one soak: their processes, their proxies and their restarts. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Observations } from './deployment.js';
import { listeningPort } from './listening-port.js';
import type {
  EngineBehavior,
  EngineCapacity,
  EngineCommand,
  EngineReport,
  ReportedFall,
} from './messages.js';
import { BOUNDS } from './router-process.js';
import { ProxyMode, TcpProxy } from './tcp-proxy.js';
import { Service } from './wire.js';

/** One engine. */
export interface Engine {
  /** Name of its entry in the store; the same in all incarnations. */
  readonly name: string;
  readonly service: string;
  /** Build of its software; the same in all incarnations. */
  readonly build: string;
  readonly proxy: TcpProxy;
  /** Process of the current incarnation. */
  child: ChildProcess;
  /** Version of its weights, as last reported. */
  weightsVersion: number;
  /** Version before the last load of weights. */
  previousVersion: number;
  isLeaving: boolean;
  /** Whether its process was ended and the next one is not listening yet. */
  isRestarting: boolean;
}

/** How an engine restarts under its name. */
export interface RestartPlan {
  /** Time between the end of the process and the next start. */
  readonly downtimeMs: number;
  /** Time from the end of the process in which connections to it hang; 0 for none. */
  readonly unreachableMs: number;
  /** Whether it restarts with the version before its last load of weights. */
  readonly revertsWeights: boolean;
}

const ENGINE_PROGRAM = fileURLToPath(new URL('./engine-program.js', import.meta.url));
/** Time that routers may need to detect the loss of an engine. */
const DETECTION_MS = 5_000;
export const FIRST_BUILD = 'v1';
export const SECOND_BUILD = 'v2';
/** One in this many responses of a caller has neither a length nor chunks. */
const UNFRAMED_RESPONSE_INTERVAL = 4;
const CRASH_RESTART_DELAY_MS = 1_500;
const GENERATION_PLAIN_WORK_MS = 25;

/** Dependencies and sizes of {@link EngineFleet}. */
export interface EngineFleetParts {
  readonly storeAddress: string;
  readonly observations: Observations;
  readonly plainCapacity: EngineCapacity;
  readonly generationSlots: number;
  /** Whether all engines have one build and give each response a length or chunks. */
  readonly hasUniformEngines: boolean;
  /** Whether engines have the build that was released last, instead of two builds in turn. */
  readonly hasReleases: boolean;
  publishedVersion(): number;
}

/** How plain engines are brittle. */
interface Brittleness {
  readonly tolerance: number;
  /** Time from which they may fail, in milliseconds since the epoch. */
  readonly failsFromMs: number;
}

/** All engines of a deployment. */
export class EngineFleet {
  /** Build of the engines that are added from now on, if builds are released. */
  releasedBuild = FIRST_BUILD;
  private engines: Engine[] = [];
  private engineCount = 0;
  private crashCount = 0;
  private isEnded = false;
  private brittleness: Brittleness | undefined;

  constructor(private readonly parts: EngineFleetParts) {}

  /** Engines that neither drain nor are replaced by another one after a crash. */
  get remaining(): readonly Engine[] {
    return this.engines.filter((engine) => !engine.isLeaving);
  }

  /** Engines of `remaining` that are not restarting. */
  get running(): readonly Engine[] {
    return this.remaining.filter((engine) => !engine.isRestarting);
  }

  setBehavior(engine: Engine, behavior: EngineBehavior): void {
    send(engine, { kind: 'behave', behavior });
  }

  /** Makes the engine reject requests with this retry delay; 0 ends that. */
  setBackoff(engine: Engine, backoffMs: number): void {
    send(engine, { kind: 'ask-pause', backoffMs });
  }

  /** Pauses the engine's process for a while; its connections stay open. */
  silence({ child }: Engine, forMs: number): void {
    child.kill('SIGSTOP');
    setTimeout(() => child.kill('SIGCONT'), forMs);
  }

  /** Makes the engine announce a limit on requests per second; undefined ends that. */
  setRateLimit(engine: Engine, perSecond: number | undefined): void {
    send(engine, { kind: 'limit', perSecond: perSecond ?? null });
  }

  /** Lets all plain engines, also new ones, fail above a number of rejections per second. */
  makePlainEnginesBrittle(tolerance: number, forMs: number): void {
    if (this.brittleness) return;
    const fromMs = Date.now();
    const plain = this.engines.filter(({ service }) => service === Service.plain);
    const engines = plain.filter((engine) => !engine.isLeaving).length;
    const period = { fromMs, untilMs: undefined as number | undefined, engines };
    this.parts.observations.brittlePeriods.push(period);
    this.brittleness = { tolerance, failsFromMs: fromMs + BOUNDS.contact_ms };
    for (const engine of plain) this.sendBrittleness(engine);
    setTimeout(() => {
      period.untilMs = Date.now();
      this.brittleness = undefined;
      for (const engine of this.engines) this.sendBrittleness(engine);
    }, forMs);
  }

  /** Adds a new engine and drains this one. */
  async replace(engine: Engine): Promise<void> {
    engine.isLeaving = true;
    await this.add(engine.service);
    send(engine, { kind: 'drain' });
  }

  /** Kills the engine's process and adds a new engine. */
  async crash(engine: Engine): Promise<void> {
    engine.isLeaving = true;
    this.recordFault(DETECTION_MS);
    engine.child.kill('SIGKILL');
    await this.add(engine.service);
  }

  /** Kills the engine's process and starts it again with the same name and address. */
  restart(engine: Engine, { downtimeMs, unreachableMs, revertsWeights }: RestartPlan): void {
    if (engine.isRestarting) return;
    engine.isRestarting = true;
    this.recordFault(
      DETECTION_MS + downtimeMs + unreachableMs,
      unreachableMs > 0 ? engine : undefined,
    );
    if (unreachableMs > 0) {
      engine.proxy.mode = ProxyMode.Blackhole;
      setTimeout(() => (engine.proxy.mode = ProxyMode.Pass), unreachableMs);
    }
    engine.child.kill('SIGKILL');
    if (revertsWeights) engine.weightsVersion = engine.previousVersion;
    setTimeout(() => void this.startNextIncarnation(engine), downtimeMs);
  }

  /** @param linkTo engine whose link is faulty; undefined if the engine itself is */
  recordFault(forMs: number, linkTo?: Engine): void {
    const fromMs = Date.now();
    const linkToName = linkTo?.name;
    this.parts.observations.engineFaults.push({
      fromMs,
      untilMs: fromMs + forMs,
      linkTo: linkToName,
    });
  }

  async add(service: string): Promise<void> {
    this.engineCount += 1;
    const name = `engine-${this.engineCount}`;
    const proxy = await TcpProxy.open();
    const weightsVersion = this.parts.publishedVersion();
    const build = this.buildOf(name);
    const identity = { name, service, build, proxy };
    const child = this.startProcess(identity, weightsVersion);
    const engine: Engine = {
      name,
      service,
      build,
      proxy,
      child,
      weightsVersion,
      previousVersion: weightsVersion,
      isLeaving: false,
      isRestarting: false,
    };
    this.watch(engine);
    proxy.targetPort = await listeningPort(child);
    this.sendBrittleness(engine);
    this.engines = [...this.engines, engine];
  }

  /** Ends all processes. */
  end(): void {
    this.isEnded = true;
    for (const { child, proxy } of this.engines) {
      child.kill('SIGKILL');
      proxy.close();
    }
  }

  private startProcess(
    { name, service, build, proxy }: Pick<Engine, 'name' | 'service' | 'build' | 'proxy'>,
    version: number,
  ): ChildProcess {
    const { storeAddress, plainCapacity, generationSlots, hasUniformEngines } = this.parts;
    const generation = { slots: generationSlots, plainWorkMs: GENERATION_PLAIN_WORK_MS };
    const capacity = service === Service.plain ? plainCapacity : generation;
    const { slots, plainWorkMs } = capacity;
    const numbers = [version, slots, plainWorkMs].map(String);
    const entry = [name, service, proxy.address, storeAddress];
    const unframedInterval = hasUniformEngines ? 0 : UNFRAMED_RESPONSE_INTERVAL;
    return fork(ENGINE_PROGRAM, [...entry, ...numbers, build, String(unframedInterval)]);
  }

  /** Starts the next incarnation. Only the version of the weights is preserved. */
  private async startNextIncarnation(engine: Engine): Promise<void> {
    if (this.isEnded || engine.isLeaving) return;
    const { proxy, weightsVersion } = engine;
    engine.child = this.startProcess(engine, weightsVersion);
    this.watch(engine);
    proxy.targetPort = await listeningPort(engine.child);
    this.sendBrittleness(engine);
    engine.isRestarting = false;
  }

  private buildOf(name: string): string {
    const { hasUniformEngines, hasReleases } = this.parts;
    if (hasUniformEngines) return FIRST_BUILD;
    return hasReleases ? this.releasedBuild : buildInTurn(name);
  }

  private sendBrittleness(engine: Engine): void {
    if (engine.service !== Service.plain) return;
    const { tolerance = null, failsFromMs = 0 } = this.brittleness ?? {};
    send(engine, { kind: 'brittle', tolerance, failsFromMs });
  }

  private watch(engine: Engine): void {
    const { child } = engine;
    child.on('message', (message) => this.handleReport(engine, message as EngineReport));
    child.once('exit', () => {
      this.parts.observations.engineExits.push({ name: engine.name, atMs: Date.now() });
      if (engine.isLeaving) engine.proxy.close();
      else if (!engine.isRestarting && !this.isEnded) this.restartCrashed(engine);
    });
  }

  private handleFall(report: ReportedFall): void {
    this.parts.observations.falls.push(report);
    this.recordFault(DETECTION_MS + CRASH_RESTART_DELAY_MS);
  }

  /** Restarts a crashed engine under its name, or replaces it by a new one, alternately. */
  private restartCrashed(engine: Engine): void {
    this.crashCount += 1;
    if (this.crashCount % 2 === 0) {
      this.restart(engine, {
        downtimeMs: CRASH_RESTART_DELAY_MS,
        unreachableMs: 0,
        revertsWeights: false,
      });
      return;
    }
    engine.isLeaving = true;
    engine.proxy.close();
    this.recordFault(DETECTION_MS);
    setTimeout(() => {
      if (!this.isEnded) void this.add(engine.service);
    }, CRASH_RESTART_DELAY_MS);
  }

  private handleReport(engine: Engine, report: EngineReport): void {
    const { runs, runEnds, arrivals, notices, limits, drains } = this.parts.observations;
    const { loadCommands, crashes, misdirectedRequests } = this.parts.observations;
    if (report.kind === 'run') runs.push(report);
    if (report.kind === 'run-end') runEnds.push(report);
    if (report.kind === 'arrival') arrivals.push(report);
    if (report.kind === 'notice') notices.push(report);
    if (report.kind === 'limit') limits.push(report);
    if (report.kind === 'fall') this.handleFall(report);
    if (report.kind === 'draining') drains.set(report.engineId, report.atMs);
    if (report.kind === 'order') loadCommands.push(report);
    if (report.kind === 'crash') crashes.push(report);
    if (report.kind === 'stray') misdirectedRequests.push(report);
    if (report.kind === 'weights') {
      engine.previousVersion = engine.weightsVersion;
      engine.weightsVersion = report.version;
    }
  }
}

/** Engines have two builds in turn; one that restarts under its name keeps its build. */
function buildInTurn(name: string): string {
  const number = Number(name.split('-').at(-1));
  return number % 2 === 0 ? SECOND_BUILD : FIRST_BUILD;
}

/** Sends a command, unless the engine's process has ended. */
function send({ child }: Engine, command: EngineCommand): void {
  // The process may end while the command is written, which its `exit` event reports.
  if (child.connected) child.send(command, () => undefined);
}

/** Engines that serve the model, with the versions of their weights. */
export function weightsOf(engines: readonly Engine[]): { name: string; version: number }[] {
  return engines
    .filter(({ service }) => service === Service.generation)
    .map(({ name, weightsVersion: version }) => ({ name, version }));
}
