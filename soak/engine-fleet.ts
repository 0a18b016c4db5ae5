/** The engines of one soak: their processes, the proxies before them, their restarts. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Observations } from './deployment.js';
import { listeningPort } from './listening-port.js';
import type { EngineBehavior, EngineCommand, EngineReport } from './messages.js';
import { ProxyMode, TcpProxy } from './tcp-proxy.js';
import { Service } from './wire.js';

/** One engine. */
export interface Engine {
  /** Identifier under which it is listed, the same in every life. */
  readonly name: string;
  readonly service: string;
  readonly proxy: TcpProxy;
  /** Process of the present life. */
  child: ChildProcess;
  /** Version of its weights, as it has reported. */
  weightsVersion: number;
  /** Version that the last load of weights has replaced. */
  replacedVersion: number;
  isLeaving: boolean;
  /** Whether its next life is under way. */
  isRestarting: boolean;
}

/** How an engine starts again under its name. */
export interface Restart {
  /** Time from its end to its next start, in milliseconds. */
  readonly downMs: number;
  /** From its end there is no way to it for this long, so that what is sent hangs. 0: no cut. */
  readonly cutMs: number;
  /** Whether it comes back with the version that its last load has replaced. */
  readonly losesLoad: boolean;
}

const ENGINE_PROGRAM = fileURLToPath(new URL('./engine-program.js', import.meta.url));
/** Routers may take this long to find that an engine is gone. */
const FOUND_MS = 5_000;
/** An engine that a request has ended is started again after this time. */
const CRASH_RESTART_MS = 1_500;

/** The engines. */
export class EngineFleet {
  private engines: Engine[] = [];
  private engineCount = 0;
  private crashCount = 0;
  private isOver = false;

  constructor(
    private readonly storeAddress: string,
    private readonly observations: Observations,
    private readonly namedVersion: () => number,
  ) {}

  /** Engines that have not been asked to leave. */
  get staying(): readonly Engine[] {
    return this.engines.filter((engine) => !engine.isLeaving);
  }

  /** Engines that are about to serve or serve. */
  get running(): readonly Engine[] {
    return this.staying.filter((engine) => !engine.isRestarting);
  }

  behave(engine: Engine, behavior: EngineBehavior): void {
    send(engine, { kind: 'behave', behavior });
  }

  /** The engine refuses and asks for pauses; 0 ms ends that. */
  askPause(engine: Engine, backoffMs: number): void {
    send(engine, { kind: 'ask-pause', backoffMs });
  }

  /** The engine names a limit on requests a second; undefined ends that. */
  limit(engine: Engine, perSecond: number | undefined): void {
    send(engine, { kind: 'limit', perSecond: perSecond ?? null });
  }

  /** The engine leaves as planned, and another takes its place. */
  async replace(engine: Engine): Promise<void> {
    engine.isLeaving = true;
    await this.add(engine.service);
    send(engine, { kind: 'drain' });
  }

  /** The engine's process is killed, and another engine takes its place. */
  async crash(engine: Engine): Promise<void> {
    engine.isLeaving = true;
    this.noteTrouble(FOUND_MS);
    engine.child.kill('SIGKILL');
    await this.add(engine.service);
  }

  /** The engine's process is killed and starts again under its name and at its address. */
  restart(engine: Engine, { downMs, cutMs, losesLoad }: Restart): void {
    if (engine.isRestarting) return;
    engine.isRestarting = true;
    this.noteTrouble(FOUND_MS + downMs + cutMs, cutMs > 0 ? engine : undefined);
    if (cutMs > 0) {
      engine.proxy.mode = ProxyMode.Silent;
      setTimeout(() => (engine.proxy.mode = ProxyMode.Pass), cutMs);
    }
    engine.child.kill('SIGKILL');
    if (losesLoad) engine.weightsVersion = engine.replacedVersion;
    setTimeout(() => void this.beginAgain(engine), downMs);
  }

  /** @param wayTo the engine to which the way is faulty; left out where the engine itself is not sound */
  noteTrouble(forMs: number, wayTo?: Engine): void {
    const fromMs = Date.now();
    const wayToName = wayTo?.name;
    this.observations.engineTroubles.push({ fromMs, untilMs: fromMs + forMs, wayTo: wayToName });
  }

  async add(service: string): Promise<void> {
    this.engineCount += 1;
    const name = `engine-${this.engineCount}`;
    const proxy = await TcpProxy.open();
    const weightsVersion = this.namedVersion();
    const child = this.startProcess(name, service, proxy.address, weightsVersion);
    const engine: Engine = {
      name,
      service,
      proxy,
      child,
      weightsVersion,
      replacedVersion: weightsVersion,
      isLeaving: false,
      isRestarting: false,
    };
    this.watch(engine);
    proxy.targetPort = await listeningPort(child);
    this.engines = [...this.engines, engine];
  }

  /** Ends every process. */
  end(): void {
    this.isOver = true;
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

  /** The next life: it has the version of the former one, and nothing else of it. */
  private async beginAgain(engine: Engine): Promise<void> {
    if (this.isOver || engine.isLeaving) return;
    const { name, service, proxy, weightsVersion } = engine;
    engine.child = this.startProcess(name, service, proxy.address, weightsVersion);
    this.watch(engine);
    proxy.targetPort = await listeningPort(engine.child);
    engine.isRestarting = false;
  }

  private watch(engine: Engine): void {
    const { child } = engine;
    child.on('message', (message) => this.note(engine, message as EngineReport));
    child.once('exit', () => {
      if (engine.isLeaving) engine.proxy.close();
      else if (!engine.isRestarting && !this.isOver) this.restartCrashed(engine);
    });
  }

  /** An engine that a request has ended starts again under its name, or gives its place to another. */
  private restartCrashed(engine: Engine): void {
    this.crashCount += 1;
    if (this.crashCount % 2 === 0) {
      this.restart(engine, { downMs: CRASH_RESTART_MS, cutMs: 0, losesLoad: false });
      return;
    }
    engine.isLeaving = true;
    engine.proxy.close();
    this.noteTrouble(FOUND_MS);
    setTimeout(() => {
      if (!this.isOver) void this.add(engine.service);
    }, CRASH_RESTART_MS);
  }

  private note(engine: Engine, report: EngineReport): void {
    const { runs, arrivals, notices, limits, drains, orders, crashes, strays } = this.observations;
    if (report.kind === 'run') runs.push(report);
    if (report.kind === 'arrival') arrivals.push(report);
    if (report.kind === 'notice') notices.push(report);
    if (report.kind === 'limit') limits.push(report);
    if (report.kind === 'draining') drains.set(report.engineId, report.atMs);
    if (report.kind === 'order') orders.push(report);
    if (report.kind === 'crash') crashes.push(report);
    if (report.kind === 'stray') strays.push(report);
    if (report.kind === 'weights') {
      engine.replacedVersion = engine.weightsVersion;
      engine.weightsVersion = report.version;
    }
  }
}

/** An engine's process may have ended meanwhile, and then nobody takes the command. */
function send({ child }: Engine, command: EngineCommand): void {
  if (child.connected) child.send(command);
}

/** Engines that hold the model, with the versions that they have at the end. */
export function weightsOf(engines: readonly Engine[]): { name: string; version: number }[] {
  return engines
    .filter(({ service }) => service === Service.generation)
    .map(({ name, weightsVersion: version }) => ({ name, version }));
}
