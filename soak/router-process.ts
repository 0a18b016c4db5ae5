/** A router process of the soak, restarted whenever it exits. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  type EngineCut,
  type EngineCutCommand,
  type EngineCutMode,
  STORE_PORT_VARIABLE,
} from './engine-cuts.js';
import { QUOTA_BOUNDS } from './tenant-quotas.js';

const RESTART_DELAY_MS = 300;
/** Time after SIGTERM in which a router begins requests. */
const ACCEPT_AFTER_STOP_MS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;
const CUT_INJECTOR = fileURLToPath(new URL('./engine-cut-injector.js', import.meta.url));

/** Kinds of unplanned faults of a router. */
export enum DisturbanceKind {
  Down = 'down',
  Frozen = 'frozen',
  /** Its link to the store is faulty. */
  StoreLink = 'store-way',
}

/** Span of a fault of a router; `untilMs` is undefined until it ends. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** The first SIGTERM of a process. */
export interface FirstStop {
  readonly atMs: number;
  /** File of the build that the process runs. */
  readonly program: string;
}

/** How a process is kept short of processor time, in milliseconds. */
export interface Throttle {
  readonly pauseMs: number;
  readonly periodMs: number;
}

/** Addresses, settings and builds of a router. */
export interface RouterOptions {
  readonly name: string;
  /** Loopback address of this router. */
  readonly ip: string;
  readonly ports: { readonly frontend: number; readonly directory: number; readonly ready: number };
  readonly gossipPort: number;
  readonly storeAddress: string;
  readonly seeds: readonly string[];
  readonly folder: string;
  /** Whether the process is killed at the end of its grace period, as the platform does it. */
  readonly isKilledAfterGrace: boolean;
  /** Files of the program's builds; each start uses the next one. */
  readonly programs: readonly string[];
  /** Whether the settings say, also at restarts, that the deployment starts for the first time. */
  readonly isFirstStart: boolean;
}

/** Bounds of the soak's deployment, with the keys of the settings. */
export const BOUNDS = {
  contact_ms: 3_000,
  drain_ms: 2_000,
  revoke_ms: 5_000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 54,
  lease_ms: 3_000,
  version_ms: 8_000,
  grace_s: 8,
  ...QUOTA_BOUNDS,
} as const;

/** Tolerance on all bounds, for busy machines. */
export const SLACK_MS = 1_500;

/** A router process and its restarts. */
export class RouterProcess {
  private child: ChildProcess | undefined;
  private isEnded = false;
  private restartDelayMs = RESTART_DELAY_MS;
  private startCount = 0;
  private program = '';
  /** Kills with the restart after them, freezes, and faults of the link to the store. */
  readonly disturbances: Disturbance[] = [];
  /** Periods in which it was cut off from all engines. */
  readonly engineCuts: EngineCut[] = [];
  /** Times of SIGTERM. */
  readonly stops: number[] = [];
  /** The first SIGTERM of each process that was stopped as planned. */
  readonly firstStops: FirstStop[] = [];
  /** Times at which a process was killed because it ran at the end of its grace period. */
  readonly killsAfterGrace: number[] = [];
  private stoppingChild: ChildProcess | undefined;
  /** Descriptions of unexpected exits. */
  readonly crashes: string[] = [];
  private isExitExpected = false;
  /** Whether the current process has written to its standard output. */
  private hasOutput = false;

  constructor(readonly options: RouterOptions) {
    mkdirSync(options.folder, { recursive: true });
    writeFileSync(this.settingsFile, JSON.stringify(this.settings()));
  }

  get frontendAddress(): string {
    return `${this.options.ip}:${this.options.ports.frontend}`;
  }

  /** Identifier of the current process; undefined between two. */
  get processId(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  get logFile(): string {
    return join(this.options.folder, `${this.options.name}.log`);
  }

  start(): void {
    if (this.isEnded || this.child) return;
    const log = createWriteStream(this.logFile, { flags: 'a' });
    const { programs } = this.options;
    this.program = programs[this.startCount % programs.length] as string;
    this.startCount += 1;
    const storePort = this.options.storeAddress.split(':')[1];
    const options = ['--max-old-space-size=100', '--import', CUT_INJECTOR];
    const child = spawn(process.execPath, [...options, this.program], {
      env: {
        PATH: process.env.PATH,
        PEATSPAN_BOOT: this.settingsFile,
        [STORE_PORT_VARIABLE]: storePort,
      },
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    // A process that fails writes to its standard error after its standard output has ended.
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    child.once('close', () => log.end());
    child.once('exit', (code, signal) => this.onExit(code, signal));
    child.stdout?.once('data', () => (this.hasOutput = true));
    this.hasOutput = false;
    this.child = child;
  }

  /** Stops the process as planned, with SIGTERM. */
  stop(): void {
    if (!this.child) return;
    this.isExitExpected = true;
    this.stops.push(Date.now());
    if (this.stoppingChild !== this.child) this.beginGrace(this.child);
    this.child.kill('SIGTERM');
  }

  private beginGrace(child: ChildProcess): void {
    this.stoppingChild = child;
    this.firstStops.push({ atMs: Date.now(), program: this.program });
    if (!this.options.isKilledAfterGrace) return;
    setTimeout(() => {
      if (this.child !== child) return;
      this.killsAfterGrace.push(Date.now());
      child.kill('SIGKILL');
    }, BOUNDS.grace_s * MILLISECONDS_PER_SECOND);
  }

  /**
   * Leaves the process short of processor time for a while: suspends it for a part of each period,
   * which is no fault that a promise allows for. Freezes go on meanwhile.
   */
  throttle({ pauseMs, periodMs }: Throttle, forMs: number): void {
    const { child } = this;
    if (!child) return;
    const endMs = Date.now() + forMs;
    const pause = (): void => {
      if (this.child !== child || Date.now() >= endMs) return;
      if (!this.isFrozen) child.kill('SIGSTOP');
      setTimeout(() => {
        if (!this.isFrozen) child.kill('SIGCONT');
      }, pauseMs);
      setTimeout(pause, periodMs);
    };
    pause();
  }

  private get isFrozen(): boolean {
    return this.disturbances.some(
      ({ kind, untilMs }) => kind === DisturbanceKind.Frozen && untilMs === undefined,
    );
  }

  /** Kills the process with SIGKILL; it restarts after `downMs`. */
  kill(downMs: number): void {
    if (!this.child) return;
    this.isExitExpected = true;
    this.restartDelayMs = downMs;
    this.disturb(DisturbanceKind.Down);
    this.child.kill('SIGKILL');
  }

  /** Suspends the process with SIGSTOP for a while. */
  freeze(forMs: number): void {
    const { child } = this;
    if (!child) return;
    const disturbance = this.disturb(DisturbanceKind.Frozen);
    child.kill('SIGSTOP');
    setTimeout(() => {
      child.kill('SIGCONT');
      disturbance.untilMs ??= Date.now();
    }, forMs);
  }

  /** Cuts the process off from all engines; a later cut replaces an earlier one. */
  cutFromEngines(mode: EngineCutMode, forMs: number): void {
    const { child } = this;
    // Before its first output, the process may not handle commands yet.
    if (!child || !this.hasOutput) return;
    this.endEngineCut();
    const cut: EngineCut = { mode, fromMs: Date.now(), untilMs: undefined };
    this.engineCuts.push(cut);
    sendCut(child, mode);
    setTimeout(() => {
      if (cut.untilMs === undefined) this.endEngineCut();
    }, forMs);
  }

  /** Whether the process may be in a planned stop. */
  isStoppingAt(atMs: number): boolean {
    const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
    return this.stops.some((stopMs) => stopMs <= atMs && atMs < stopMs + graceMs);
  }

  /** Whether the process may be in the last sixth of the grace period of a planned stop. */
  isInLastSixthOfStop(atMs: number): boolean {
    const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
    return this.firstStops.some(
      (stop) => stop.atMs + (graceMs * 5) / 6 <= atMs && atMs < stop.atMs + graceMs,
    );
  }

  /** Whether the process may be in a planned stop and begin no further requests. */
  hasEndedAcceptance(atMs: number): boolean {
    const graceMs = BOUNDS.grace_s * MILLISECONDS_PER_SECOND;
    return this.firstStops.some(
      (stop) => stop.atMs + ACCEPT_AFTER_STOP_MS < atMs && atMs < stop.atMs + graceMs,
    );
  }

  /** Whether the process is cut off from all engines at a time. */
  isCutAt(atMs: number): boolean {
    return this.wasCutWithin(0, atMs);
  }

  /** Whether the process was cut off from all engines at some time in the span before `atMs`. */
  wasCutWithin(spanMs: number, atMs: number): boolean {
    return this.engineCuts.some(
      ({ fromMs, untilMs }) => fromMs <= atMs && atMs < (untilMs ?? Infinity) + spanMs,
    );
  }

  /** Records the start of a fault; the caller sets its end. */
  disturb(kind: DisturbanceKind): Disturbance {
    const disturbance: Disturbance = { kind, fromMs: Date.now(), untilMs: undefined };
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /**
   * Reloads the settings with SIGHUP. Does nothing before the first output of the process, because
   * its signal handler may be missing until then.
   */
  reload(): void {
    if (this.hasOutput) this.child?.kill('SIGHUP');
  }

  /** Ends the process without a restart. */
  async end(): Promise<void> {
    this.isEnded = true;
    const { child } = this;
    if (!child) return;
    const exited = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await exited;
  }

  private get settingsFile(): string {
    return join(this.options.folder, `${this.options.name}.json`);
  }

  /** Ends the current cut from the engines, if there is one. */
  private endEngineCut(): void {
    const cut = this.engineCuts.at(-1);
    if (!cut || cut.untilMs !== undefined) return;
    cut.untilMs = Date.now();
    if (this.child) sendCut(this.child, undefined);
  }

  private onExit(code: number | null, signal: NodeJS.Signals | null): void {
    this.child = undefined;
    // The next process is not cut off.
    this.endEngineCut();
    if (!this.isExitExpected && !this.isEnded) {
      this.crashes.push(`${this.options.name} exited unexpectedly: code ${code} signal ${signal}`);
    }
    this.isExitExpected = false;
    const delayMs = this.restartDelayMs;
    this.restartDelayMs = RESTART_DELAY_MS;
    setTimeout(() => {
      this.start();
      this.endProcessDisturbances();
    }, delayMs);
  }

  private endProcessDisturbances(): void {
    for (const disturbance of this.disturbances) {
      if (disturbance.kind !== DisturbanceKind.StoreLink) disturbance.untilMs ??= Date.now();
    }
  }

  private settings(): object {
    const { name, ip, ports, gossipPort, storeAddress, seeds, isFirstStart } = this.options;
    return {
      node_name: name,
      role: 'router',
      ip,
      zone: 'zone-a',
      region: 'region-a',
      listen_addresses: {
        frontend: `${ip}:${ports.frontend}`,
        ready: `${ip}:${ports.ready}`,
        directory: `${ip}:${ports.directory}`,
      },
      internal_port_range: [gossipPort, gossipPort + 1],
      seeds,
      limits: { cpu_share: 0.7, cores: 1 },
      bounds: BOUNDS,
      platform: { address: storeAddress },
      ...(isFirstStart ? { bootstrap: true } : {}),
    };
  }
}

function sendCut(child: ChildProcess, mode: EngineCutMode | undefined): void {
  const command: EngineCutCommand = { mode };
  // The process may end meanwhile, which also ends the cut.
  if (child.connected) child.send(command, () => undefined);
}
