/**
 * A router of the bundled program, started as the deploy file does and with small limits in its
 * settings, with a store and one engine; and what its process takes of the machine.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { type IncomingMessage, type ServerResponse, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findFreePorts } from '../../soak/free-ports.js';
import { BOUNDS } from '../../soak/router-process.js';
import { HOST, MODEL, Service, WireHeader, WireKind, callJson } from '../../soak/wire.js';
import { wait } from './socket-router.js';
import { type Cleanup, keepEntries, startStore } from './stored-deployment.js';

const DEPLOYMENT = 'deploy/system.toml';
const RUN = /^run = "node (.*)"$/m;
const ROUTER_PORTS = 6;
const POLL_MS = 50;
const SAMPLE_MS = 20;
const REQUEST_TIMEOUT_MS = 15_000;
const SLOTS = 300;
/** Bytes of the body of an ordinary request; others are stated. */
const ORDINARY_BODY_BYTES = 8_000;

export const API_KEY = 'key-1';
/** Tenant of the ordinary requests. */
export const ORDINARY_KEY = 'key-2';
/** Path of the route for bodies. */
export const UPLOAD_PATH = '/upload/x';
/** Path of the route for generations. */
export const STREAM_PATH = '/stream/x';
/** Path of the route for generations that another engine may continue. */
export const RESUMABLE_PATH = '/resumable/x';
/** Path of the route for short responses of the engines of generations, which the router buffers. */
export const READ_PATH = '/read/x';
/** Limit of the configuration, in bytes. */
export const MAXIMUM_BODY_BYTES = 4_194_304;

/** Limits of the settings: memory of the smallest machine of the users' sheets, few descriptors. */
export const LIMITS = { cpu_share: 0.675, cores: 1, memory_mb: 178, max_fds: 600 } as const;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1_024;
/** Peak of the resident memory of a router, in bytes. */
export const MEMORY_BOUND_BYTES = LIMITS.memory_mb * BYTES_PER_MEGABYTE;
/** Open descriptors of a router. */
export const DESCRIPTOR_BOUND = LIMITS.max_fds - FILE_DESCRIPTORS;

/** The listeners of a router, HOST:PORT each. */
export interface Listeners {
  readonly ingress: string;
  readonly readiness: string;
  readonly directory: string;
  readonly metrics: string;
  /** Frames of other routers. */
  readonly peers: string;
  /** Connections that the router forwards for others. */
  readonly forwarding: string;
}

/** A router under observation. */
export interface LimitedRouter {
  readonly listeners: Listeners;
  readonly usage: ProcessUsage;
}

/** The most that a process has taken, sampled while it runs. */
export class ProcessUsage {
  peakBytes = 0;
  peakDescriptors = 0;
  /** How the process has ended; undefined while it runs. */
  end: string | undefined;
  private readonly sampler: NodeJS.Timeout;

  constructor(readonly child: ChildProcess) {
    child.once('exit', (code, signal) => (this.end = `code ${code} signal ${signal}`));
    this.sampler = setInterval(() => this.sample(), SAMPLE_MS);
  }

  stop(): void {
    clearInterval(this.sampler);
  }

  /** Reads what the kernel counts; the memory is its own record of the peak. */
  sample(): void {
    const folder = `/proc/${this.child.pid}`;
    try {
      const peak = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`${folder}/status`, 'utf8'))?.[1];
      this.peakBytes = Math.max(this.peakBytes, Number(peak ?? 0) * BYTES_PER_KILOBYTE);
      this.peakDescriptors = Math.max(this.peakDescriptors, readdirSync(`${folder}/fd`).length);
    } catch (error) {
      // The process has ended, which its `exit` event reports.
      if ((error as NodeJS.ErrnoException).code !== 'ENOENT') throw error;
    }
  }
}

/** Options of {@link startLimitedRouter}. */
export interface LimitedRouterOptions {
  /** File of the bundle; that of the deploy file by default. */
  readonly program?: string | undefined;
  /** Addresses of the engines of generations; by default that of the engine of bodies. */
  readonly generationEngines?: readonly string[] | undefined;
}

/**
 * Starts the processes; resolves once the router is ready.
 *
 * @param ip loopback address of the router
 */
export async function startLimitedRouter(
  t: Cleanup,
  ip: string,
  { program, generationEngines }: LimitedRouterOptions = {},
): Promise<LimitedRouter> {
  const store = await startStore(t, configuration());
  const address = await startUploadEngine(t);
  const engines = [
    { service: Service.plain, address },
    ...(generationEngines ?? [address]).map((each) => ({
      service: Service.generation,
      address: each,
    })),
  ];
  await keepEntries(t, async () => {
    for (const [index, engine] of engines.entries())
      await store.put(WireKind.engines, `engine-${index}`, engineEntry(engine));
  });
  return startRouterProcess(t, ip, store.address, program);
}

/** Sends one ordinary request on a connection of its own; resolves with its status or error. */
export function sendOrdinary(
  ingress: string,
  attempt: string,
  bodyBytes = ORDINARY_BODY_BYTES,
): Promise<number | string> {
  const [host, port] = ingress.split(':');
  return new Promise((resolve) => {
    const call = request(
      {
        ...{ host, port, method: 'POST', path: UPLOAD_PATH, agent: false },
        timeout: REQUEST_TIMEOUT_MS,
        headers: {
          Host: HOST,
          [WireHeader.attemptId]: attempt,
          [WireHeader.budgetMs]: String(REQUEST_TIMEOUT_MS),
          [WireHeader.apiKey]: ORDINARY_KEY,
        },
      },
      (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode ?? 0));
        response.once('error', (error) => resolve(error.message));
      },
    );
    call.once('timeout', () => call.destroy(new Error('no response')));
    call.once('error', (error) => resolve(error.message));
    call.end(Buffer.alloc(bodyBytes, 'x'));
  });
}

/** Resolves once the router says that it is ready, or has ended. */
export async function untilReady({ listeners, usage }: LimitedRouter): Promise<void> {
  const isReady = (): Promise<boolean> =>
    callJson(listeners.readiness, 'GET', '/readiness').then(
      ({ status }) => status === 200,
      () => false,
    );
  while (usage.end === undefined && !(await isReady())) await wait(POLL_MS);
}

/** An engine that reads whole bodies and responds with their length. */
async function startUploadEngine(t: Cleanup): Promise<string> {
  const server = createServer((incoming, response) => void respond(incoming, response));
  server.keepAliveTimeout = REQUEST_TIMEOUT_MS;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function respond(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
  const attempt = incoming.headers[WireHeader.attemptId];
  if (typeof attempt !== 'string') {
    response.writeHead(404).end();
    return;
  }
  let bytes = 0;
  try {
    for await (const chunk of incoming) bytes += (chunk as Buffer).length;
  } catch {
    // The router has closed the connection within the body.
    return;
  }
  response.writeHead(200, { [WireHeader.attemptId]: attempt, [WireHeader.seal]: 'seal' });
  response.end(String(bytes));
}

function engineEntry({ service, address }: { service: string; address: string }): object {
  const models = [{ name: MODEL, version: 1 }];
  return { service, address, zone: 'zone-a', slots: SLOTS, state: 'ready', stage: 'both', models };
}

function configuration(): object {
  const route = {
    ...{ host: HOST, timeout_ms: REQUEST_TIMEOUT_MS, target_latency_ms: 500, priority: 0 },
    max_attempts: 1,
  };
  const engine = {
    ...{ slots: SLOTS, kv_capacity_tokens: 1_000_000, kv_token_bytes: 100, link_mbps: 10_000 },
    max_in_flight: 12,
  };
  return {
    version: 1,
    routes: [
      { ...route, name: 'upload', path_prefix: '/upload/', service: Service.plain, kind: 'unsafe' },
      {
        ...{ ...route, name: 'stream', path_prefix: '/stream/', service: Service.generation },
        ...{ kind: 'streaming', resumable: false },
      },
      {
        ...{ ...route, name: 'resumable', path_prefix: '/resumable/', max_attempts: 2 },
        ...{ service: Service.generation, kind: 'streaming', resumable: true },
      },
      {
        ...{ ...route, name: 'read', path_prefix: '/read/', max_attempts: 2 },
        ...{ service: Service.generation, kind: 'safe' },
      },
    ],
    services: [
      { name: Service.plain, max_connections: 1_000 },
      { name: Service.generation, max_connections: 1_000, engine },
    ],
    tenants: [
      { name: 'tenant-1', api_keys: [API_KEY] },
      { name: 'tenant-2', api_keys: [ORDINARY_KEY] },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAXIMUM_BODY_BYTES,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** The arguments of Node.js in the deploy file: its options and the program. */
function deployedArguments(program: string | undefined): string[] {
  const run = RUN.exec(readFileSync(DEPLOYMENT, 'utf8'))?.[1];
  if (run === undefined) throw new Error(`no run command in ${DEPLOYMENT}`);
  const words = run.split(' ');
  return program === undefined ? words : [...words.slice(0, -1), program];
}

async function startRouterProcess(
  t: Cleanup,
  ip: string,
  storeAddress: string,
  program: string | undefined,
): Promise<LimitedRouter> {
  const first = await findFreePorts([ip], ROUTER_PORTS);
  const folder = mkdtempSync(join(tmpdir(), 'peatspan-clients-'));
  const file = join(folder, 'node.json');
  const at = (offset: number): string => `${ip}:${first + offset}`;
  const listeners = {
    ...{ ingress: at(0), readiness: at(1), directory: at(2), metrics: at(3) },
    ...{ peers: at(4), forwarding: at(5) },
  };
  writeFileSync(file, JSON.stringify(routerSettings(ip, first, listeners, storeAddress)));
  const env = { PATH: process.env.PATH, PEATSPAN_BOOT: file };
  const child = spawn(process.execPath, deployedArguments(program), { env, stdio: 'ignore' });
  const usage = new ProcessUsage(child);
  t.teardown(() => {
    usage.stop();
    child.kill('SIGKILL');
    rmSync(folder, { recursive: true });
  });
  const router = { listeners, usage };
  await untilReady(router);
  return router;
}

function routerSettings(
  ip: string,
  first: number,
  listeners: Listeners,
  storeAddress: string,
): object {
  return {
    ...{ node_name: 'router-1', role: 'router', ip, zone: 'zone-a', region: 'region-a' },
    listen_addresses: {
      frontend: listeners.ingress,
      ready: listeners.readiness,
      directory: listeners.directory,
    },
    internal_port_range: [first + 4, first + 5],
    metrics: `${first + 3}/metrics`,
    seeds: [`${ip}:1`],
    limits: LIMITS,
    bounds: BOUNDS,
    platform: { address: storeAddress },
  };
}
