/** The engines of one soak: their processes, their proxies and their restarts. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Observations } from './deployment.js';
import { listeningPort } from './listening-port.js';
import type { EngineBehavior, EngineCommand, EngineReport } from './messages.js';
import { ProxyMode, TcpProxy } from './tcp-proxy.js';
import { Service } from './wire.js';

/** One engine. */
export interface Engine {
  /** Name of its entry in the store; the same in all incarnations. */
  readonly name: string;
  readonly service: string;
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
const CRASH_RESTART_DELAY_MS = 1_500;

/** All engines of a deployment. */
export class EngineFleet {
  private engines: Engine[] = [];
  private engineCount = 0;
  private crashCount = 0;
  private isEnded = false;

  constructor(
    private readonly storeAddress: string,
    private readonly observations: Observations,
    private readonly publishedVersion: () => number,
  ) {}

  /** Engines that do not drain and have not crashed for good. */
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

  /** Makes the engine announce a limit on requests per second; undefined ends that. */
  setRateLimit(engine: Engine, perSecond: number | undefined): void {
    send(engine, { kind: 'limit', perSecond: perSecond ?? null });
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
    this.observations.engineFaults.push({ fromMs, untilMs: fromMs + forMs, linkTo: linkToName });
  }

  async add(service: string): Promise<void> {
    this.engineCount += 1;
    const name = `engine-${this.engineCount}`;
    const proxy = await TcpProxy.open();
    const weightsVersion = this.publishedVersion();
    const child = this.startProcess(name, service, proxy.address, weightsVersion);
    const engine: Engine = {
      name,
      service,
      proxy,
      child,
      weightsVersion,
      previousVersion: weightsVersion,
      isLeaving: false,
      isRestarting: false,
    };
    this.watch(engine);
    proxy.targetPort = await listeningPort(child);
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
    name: string,
    service: string,
    address: string,
    version: number,
  ): ChildProcess {
    return fork(ENGINE_PROGRAM, [name, service, address, this.storeAddress, String(version)]);
  }

  /** Starts the next incarnation. It takes over nothing but the version of the weights. */
  private async startNextIncarnation(engine: Engine): Promise<void> {
    if (this.isEnded || engine.isLeaving) return;
    const { name, service, proxy, weightsVersion } = engine;
    engine.child = this.startProcess(name, service, proxy.address, weightsVersion);
    this.watch(engine);
    proxy.targetPort = await listeningPort(engine.child);
    engine.isRestarting = false;
  }

  private watch(engine: Engine): void {
    const { child } = engine;
    child.on('message', (message) => this.handleReport(engine, message as EngineReport));
    child.once('exit', () => {
      if (engine.isLeaving) engine.proxy.close();
      else if (!engine.isRestarting && !this.isEnded) this.restartCrashed(engine);
    });
  }

  /** Restarts a crashed engine under its name, or replaces it by a new one, in turn. */
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
    const { runs, arrivals, notices, limits, drains, loadCommands, crashes, misdirectedRequests } =
      this.observations;
    if (report.kind === 'run') runs.push(report);
    if (report.kind === 'arrival') arrivals.push(report);
    if (report.kind === 'notice') notices.push(report);
    if (report.kind === 'limit') limits.push(report);
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

/** Sends a command, unless the engine's process has ended. */
function send({ child }: Engine, command: EngineCommand): void {
  if (child.connected) child.send(command);
}

/** Engines that serve the model, with the versions of their weights. */
export function weightsOf(engines: readonly Engine[]): { name: string; version: number }[] {
  return engines
    .filter(({ service }) => service === Service.generation)
    .map(({ name, weightsVersion: version }) => ({ name, version }));
}
