/** One machine of the soak: the program of the bundle, started again whenever it ends. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** A process that ended is started again after this. */
const RESTART_MS = 300;

/** What disturbs a router without plan. */
export enum DisturbanceKind {
  Down = 'down',
  Frozen = 'frozen',
  /** Its way to the store is faulty. */
  StoreWay = 'store-way',
}

/** A span in which a router was disturbed; not ended while `untilMs` is undefined. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** Where the machine listens and what it is told. */
export interface RouterPlace {
  readonly name: string;
  /** Its own address of the loopback range. */
  readonly ip: string;
  readonly ports: { readonly frontend: number; readonly directory: number; readonly ready: number };
  readonly gossipPort: number;
  readonly storeAddress: string;
  readonly seeds: readonly string[];
  readonly folder: string;
  /** Files of the program's builds, one after the other with each start. */
  readonly programs: readonly string[];
}

/** Bounds of the soak's deployment, as the settings of the users' platform name them. */
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
} as const;

/** Bounds are met with this much more on a machine that is busy with many processes. */
export const SLACK_MS = 1_500;

/** A router's machine. */
export class RouterProcess {
  private child: ChildProcess | undefined;
  private isOver = false;
  private restartAfterMs = RESTART_MS;
  private starts = 0;
  /** Unplanned: kills, freezes, starts after a kill. */
  readonly disturbances: Disturbance[] = [];
  /** Moments of SIGTERM. */
  readonly stops: number[] = [];
  /** Ends that nobody asked for, with their code. */
  readonly crashes: string[] = [];
  private isEndExpected = false;
  /** Whether the present process has written a line. */
  private hasBegun = false;

  constructor(readonly place: RouterPlace) {
    mkdirSync(place.folder, { recursive: true });
    writeFileSync(this.settingsFile, JSON.stringify(this.settings()));
  }

  get frontendAddress(): string {
    return `${this.place.ip}:${this.place.ports.frontend}`;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  get logFile(): string {
    return join(this.place.folder, `${this.place.name}.log`);
  }

  start(): void {
    if (this.isOver || this.child) return;
    const log = createWriteStream(this.logFile, { flags: 'a' });
    const { programs } = this.place;
    const program = programs[this.starts % programs.length] as string;
    this.starts += 1;
    const child = spawn(process.execPath, ['--max-old-space-size=200', program], {
      env: { PATH: process.env.PATH, PEATSPAN_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    child.once('exit', (code, signal) => this.onExit(code, signal));
    child.stdout.once('data', () => (this.hasBegun = true));
    this.hasBegun = false;
    this.child = child;
  }

  /** SIGTERM: a planned stop. */
  stop(): void {
    if (!this.child) return;
    this.isEndExpected = true;
    this.stops.push(Date.now());
    this.child.kill('SIGTERM');
  }

  /** SIGKILL; it stays down for a while. */
  kill(downMs: number): void {
    if (!this.child) return;
    this.isEndExpected = true;
    this.restartAfterMs = downMs;
    this.disturb(DisturbanceKind.Down);
    this.child.kill('SIGKILL');
  }

  /** SIGSTOP, and SIGCONT after a while. */
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

  /** Notes that the router is disturbed from now on; the caller sets the end. */
  disturb(kind: DisturbanceKind): Disturbance {
    const disturbance: Disturbance = { kind, fromMs: Date.now(), untilMs: undefined };
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /** SIGHUP: the settings file is read again. Before its first line a process has no code that could take it. */
  reload(): void {
    if (this.hasBegun) this.child?.kill('SIGHUP');
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.isOver = true;
    const { child } = this;
    if (!child) return;
    const exited = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await exited;
  }

  private get settingsFile(): string {
    return join(this.place.folder, `${this.place.name}.json`);
  }

  private onExit(code: number | null, signal: NodeJS.Signals | null): void {
    this.child = undefined;
    if (!this.isEndExpected && !this.isOver) {
      this.crashes.push(`${this.place.name} ended by itself: code ${code} signal ${signal}`);
    }
    this.isEndExpected = false;
    const afterMs = this.restartAfterMs;
    this.restartAfterMs = RESTART_MS;
    setTimeout(() => {
      this.start();
      this.endProcessDisturbances();
    }, afterMs);
  }

  private endProcessDisturbances(): void {
    for (const disturbance of this.disturbances) {
      if (disturbance.kind !== DisturbanceKind.StoreWay) disturbance.untilMs ??= Date.now();
    }
  }

  private settings(): object {
    const { name, ip, ports, gossipPort, storeAddress, seeds } = this.place;
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
    };
  }
}
