/** A small deployment: the store, engines and routers of one case, and the record of what happened. */
import { fork, spawn } from 'node:child_process';
import { createServer } from 'node:net';
import { appendFileSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { callJson } from './http.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ENGINE = fileURLToPath(new URL('./engine.mjs', import.meta.url));
const READY_TIMEOUT_MS = 20_000;

/** The bounds of the small sites' sheets. */
export const BOUNDS = {
  ...{ seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4 },
  ...{ drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000 },
  ...{ downgrade_slack_ms: 250, max_stretch_ms: 5000, strict_revocation: true, revoke_ms: 5000 },
  ...{ retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 54, recovery_s: 12 },
  ...{ event_transit_ms: 120, retry_after_s: 10, require_fencing: true, lease_ms: 3000 },
  ...{ thaw_slack_ms: 300, version_ms: 8000, version_all_ms: 11000, ttl_max_s: 5 },
};

/** The limits of a configuration. */
export const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

/** A free port of a loopback address; the system chooses it. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The processes and stand-ins of one case. */
export class Deployment {
  constructor(recordFile) {
    this.recordFile = recordFile;
    this.folder = mkdtempSync(join(tmpdir(), 'peatspan-review-'));
    this.store = new Store();
    this.engines = new Map();
    this.routers = [];
    this.reports = [];
    writeFileSync(recordFile, '');
  }

  note(text) {
    appendFileSync(this.recordFile, `${new Date().toISOString()} ${text}\n`);
  }

  /** Starts one engine process; resolves when it listens. */
  async startEngine(settings) {
    const host = settings.host ?? '127.0.0.1';
    const port = settings.port ?? (await freePort(host));
    const full = { ...settings, host, port, storePort: this.store.port };
    const child = fork(ENGINE, [JSON.stringify(full)], { stdio: ['ignore', 'ignore', 2, 'ipc'] });
    const engine = { ...full, child };
    this.engines.set(full.id, engine);
    await new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error('engine ended')));
      child.on('message', (report) => {
        this.reports.push(report);
        if (report.kind === 'listening') resolve();
        const { engine: name, kind, atMs, ...rest } = report;
        this.note(`engine ${name} ${kind} at ${atMs} ${JSON.stringify(rest)}`);
      });
    });
    return engine;
  }

  /** Kills an engine, as a crash does. */
  killEngine(id) {
    this.note(`engine ${id} is killed`);
    this.engines.get(id).child.kill('SIGKILL');
  }

  /** Starts routers, one for each zone, as the deploy file does, and waits until they are ready. */
  async startRouters(zones, { isFirstStart = true, seedIps } = {}) {
    const ports = {};
    for (const name of ['frontend', 'ready', 'control', 'directory'])
      ports[name] = await freePort('127.0.0.1');
    const gossip = await freePort('127.0.0.1');
    const block = process.pid % 200;
    const ips = zones.map((_, index) => `127.77.${block + 1}.${index + 1}`);
    const shared = {
      ...{ zones, ips, ports, internal: [gossip, gossip + 15], isFirstStart, seedIps },
      regions: Object.fromEntries(zones.map((zone) => [zone, 'region-a'])),
    };
    this.routers = zones.map((zone, index) => this.createRouter(zone, index, shared));
    for (const router of this.routers) this.startRouter(router);
    this.startedMs = Date.now();
    await Promise.all(this.routers.map((router) => this.untilReady(router)));
  }

  createRouter(zone, index, { ips, ports, internal, regions, isFirstStart, seedIps }) {
    const ip = ips[index];
    const addresses = Object.entries(ports).map(([name, port]) => [name, `${ip}:${port}`]);
    const name = `frontend-${zone}-1`;
    const file = join(this.folder, `${name}.json`);
    const seedsAt = (hosts) => hosts.map((each) => `${each}:${ports.control}`);
    const settings = {
      ...{ node_name: name, role: 'router', machine_class: 'frontend', zone, region: 'region-a' },
      serves: ['frontend', 'control_plane', 'directory'],
      ...{ ip, zones: regions, listen_addresses: Object.fromEntries(addresses) },
      internal_port_range: internal,
      seeds: seedsAt(seedIps ?? ips),
      ...{ bootstrap: isFirstStart, counts_in_tolerance: false, data_dir: null },
      limits: {
        ...{ cpu_share: 0.675, cores: 1, memory_mb: 350 },
        ...{ max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 },
      },
      ...{ discovery: 'platform', entry: 'directory', heartbeat_ms: 1200 },
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      platform: {
        ...{ address: `127.0.0.1:${this.store.port}`, form: 'objects', writes_per_s: 400 },
        ...{ reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000 },
      },
    };
    writeFileSync(file, JSON.stringify(settings));
    const addressOfClients = `${ip}:${ports.frontend}`;
    return {
      name,
      ip,
      file,
      settings,
      seeds: seedsAt(ips),
      frontend: addressOfClients,
      ready: ports.ready,
    };
  }

  /** Writes the settings with the seeds of now, and tells the processes, as the platform does. */
  renewSeeds() {
    for (const { name, file, settings, seeds, child } of this.routers) {
      writeFileSync(file, JSON.stringify({ ...settings, seeds }));
      child.kill('SIGHUP');
      this.note(`router ${name}: the settings file has the seeds of now, SIGHUP`);
    }
  }

  startRouter(router) {
    const log = openSync(join(this.folder, `${router.name}.log`), 'a');
    router.child = spawn(process.execPath, ['--max-old-space-size=200', 'target/peatspan.cjs'], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PEATSPAN_BOOT: router.file },
      stdio: ['ignore', log, log],
    });
    this.note(`router ${router.name} starts`);
  }

  async untilReady(router) {
    const untilMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < untilMs) {
      const target = { host: router.ip, port: router.ready, method: 'GET', path: '/readiness' };
      const answer = await callJson(target).catch(() => undefined);
      if (answer?.status === 200) return;
      await sleep(100);
    }
    throw new Error(`${router.name} does not become ready`);
  }

  /** Ends all processes that this case has started. */
  end({ keepsFolder = false } = {}) {
    for (const { child } of [...this.routers, ...this.engines.values()]) child?.kill('SIGKILL');
    this.store.close();
    if (!keepsFolder) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(recordFile, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(recordFile);
  process.once('SIGTERM', () => {
    deployment.note('could not run: out of time');
    deployment.end();
    process.exit(2);
  });
  let code = 2;
  try {
    await deployment.store.listen();
    const isBroken = await play(deployment, hasTrouble);
    code = isBroken ? 1 : 0;
    deployment.note(`trouble ${hasTrouble}: the rule was ${isBroken ? 'broken' : 'kept'}`);
  } catch (error) {
    deployment.note(`could not run: ${error.stack}`);
  } finally {
    deployment.end({ keepsFolder: process.env.KEEP === '1' });
  }
  process.exit(code);
}
