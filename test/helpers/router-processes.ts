/** Routers as processes of the bundled program, with one store; their logs show what they follow. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { findFreePorts } from '../../soak/free-ports.js';

const PROGRAM = 'target/peatspan.cjs';
const PORTS_PER_ROUTER = 5;
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 10;
/** Routers take about half a second of processor time to start. */
const STARTS_AT_ONCE = 4;

/** One router; it is not started again by itself. */
export class RouterProcess {
  lines: string[] = [];
  exit: string | undefined;
  private child: ChildProcess | undefined;
  private rest = '';

  constructor(
    readonly name: string,
    private readonly settingsFile: string,
  ) {}

  get isRunning(): boolean {
    return this.child !== undefined && this.exit === undefined;
  }

  start(): void {
    this.exit = undefined;
    const child = spawn(process.execPath, ['--max-old-space-size=100', PROGRAM], {
      env: { PATH: process.env.PATH, PEATSPAN_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const receive = (chunk: Buffer): void => this.receive(chunk.toString('utf8'));
    child.stdout.on('data', receive);
    child.stderr.on('data', receive);
    child.once('exit', (code, signal) => (this.exit = `${this.name}: code ${code} ${signal}`));
    this.child = child;
  }

  async end(): Promise<void> {
    const { child } = this;
    if (!child || this.exit !== undefined) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  private receive(chunk: string): void {
    const lines = (this.rest + chunk).split('\n');
    this.rest = lines.pop() ?? '';
    this.lines.push(...lines);
  }
}

/** A group of routers of one zone. */
export class RouterProcesses {
  readonly routers: RouterProcess[] = [];
  private readonly folder = mkdtempSync(path.join(tmpdir(), 'peatspan-odd-'));

  /** Starts the routers and waits until all are in one group. */
  static async start(count: number, storeAddress: string): Promise<RouterProcesses> {
    const group = new RouterProcesses();
    const ips = Array.from({ length: count }, (_, index) => `127.0.0.${10 + index}`);
    const first = await findFreePorts(ips, PORTS_PER_ROUTER);
    const seeds = ips.slice(0, 3).map((ip) => `${ip}:${first + 3}`);
    for (const [index, ip] of ips.entries()) {
      const settings = settingsOf(`router-${index}`, ip, first, seeds, storeAddress);
      const file = path.join(group.folder, `${index}.json`);
      writeFileSync(file, JSON.stringify(settings));
      group.routers.push(new RouterProcess(settings.node_name, file));
    }
    for (let index = 0; index < count; index += STARTS_AT_ONCE)
      await group.startAll(group.routers.slice(index, index + STARTS_AT_ONCE));
    return group;
  }

  get exits(): string[] {
    return this.routers.flatMap(({ exit }) => exit ?? []);
  }

  /** Starts again those that have ended. */
  async restartEnded(): Promise<void> {
    await this.startAll(this.routers.filter(({ isRunning }) => !isRunning));
  }

  async stop(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.end()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startAll(routers: readonly RouterProcess[]): Promise<void> {
    const seen = routers.map(({ lines }) => lines.length);
    for (const router of routers) router.start();
    const areStarted = (): boolean =>
      routers.every(({ lines }, index) =>
        lines.slice(seen[index]).some((line) => line.includes('event=started ')),
      );
    if (!(await poll(areStarted, START_TIMEOUT_MS))) throw new Error('routers did not start');
  }
}

/** Polls until the probe holds; returns whether it did before the time was over. */
export async function poll(probe: () => boolean, limitMs: number): Promise<boolean> {
  const latestMs = performance.now() + limitMs;
  while (!probe()) {
    if (performance.now() > latestMs) return false;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return true;
}

function settingsOf(
  name: string,
  ip: string,
  first: number,
  seeds: readonly string[],
  storeAddress: string,
): { readonly node_name: string } {
  const settings = {
    node_name: name,
    role: 'router',
    ip,
    zone: 'zone-a',
    region: 'region-a',
    listen_addresses: {
      frontend: `${ip}:${first}`,
      ready: `${ip}:${first + 1}`,
      directory: `${ip}:${first + 2}`,
    },
    internal_port_range: [first + 3, first + 4],
    seeds,
    bootstrap: true,
    limits: { cpu_share: 0.7, cores: 1, memory_mb: 200 },
    bounds: { drain_ms: 2_000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 54 },
    platform: { address: storeAddress },
  };
  return settings;
}
