/** A router as the platform starts it, in a process of its own, with a store and an engine. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { type IncomingMessage, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';
import { findFreePorts } from '../../soak/free-ports.js';
import { BOUNDS } from '../../soak/router-process.js';
import { HOST, MODEL, Service, WireHeader, WireKind, callJson, sendJson } from '../../soak/wire.js';
import { wait } from './socket-router.js';
import { keepEntries, startStore } from './stored-deployment.js';

const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));
const ROUTER_PORTS = 5;
const POLL_MS = 50;
const API_KEY = 'key-1';
const TIMEOUT_MS = 15_000;
const SLOTS = 300;
/** Path of the route to the engine. */
const PATH = '/stream/x';

/** A request that the engine runs. */
export type Run = (attempt: string, response: ServerResponse) => void;

/** The deployment of one test. */
export interface RouterDeployment {
  readonly router: ChildProcess;
  readonly ip: string;
  readonly port: number;
}

/**
 * Starts the processes; resolves once the router is ready.
 *
 * @param ip loopback address of the router
 */
export async function startDeployment(
  t: ExecutionContext,
  ip: string,
  run: Run,
): Promise<RouterDeployment> {
  const store = await startStore(t, configuration());
  const address = await startEngine(t, run);
  await keepEntries(t, () => store.put(WireKind.engines, 'engine-1', engineEntry(address)));
  return startRouter(t, ip, store.address);
}

/** The head of a request for a stream of at most so many tokens. */
export function requestHead(attempt: string, maximumTokens: number): string {
  return (
    `POST ${PATH} HTTP/1.1\r\nHost: ${HOST}\r\nX-Peatspan-Attempt-Id: ${attempt}\r\n` +
    `X-Peatspan-Model: ${MODEL}\r\nX-Peatspan-Token-Usage: 300,${maximumTokens}\r\n` +
    `X-Peatspan-Prompt-Prefix: aa:200,${attempt}:100\r\nApi-Key: ${API_KEY}\r\n` +
    'Content-Length: 0\r\n\r\n'
  );
}

async function startEngine(t: ExecutionContext, run: Run): Promise<string> {
  const server = createServer((request, response) => respond(request, response, run));
  server.keepAliveTimeout = TIMEOUT_MS;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function respond(request: IncomingMessage, response: ServerResponse, run: Run): void {
  const attempt = request.headers[WireHeader.attemptId];
  if (request.url !== PATH || typeof attempt !== 'string') {
    sendJson(response, 404, {});
    return;
  }
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    [WireHeader.attemptId]: attempt,
    [WireHeader.seal]: 'seal',
    [WireHeader.weightVersions]: '1',
  });
  run(attempt, response);
}

function engineEntry(address: string): object {
  const models = [{ name: MODEL, version: 1 }];
  const service = Service.generation;
  return { service, address, zone: 'zone-a', slots: SLOTS, state: 'ready', stage: 'both', models };
}

function configuration(): object {
  const route = {
    name: 'stream',
    host: HOST,
    path_prefix: '/stream/',
    service: Service.generation,
    kind: 'streaming',
    resumable: false,
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: 500,
    priority: 0,
    max_attempts: 1,
  };
  const engine = {
    slots: SLOTS,
    kv_capacity_tokens: 1_000_000,
    kv_token_bytes: 100,
    link_mbps: 10_000,
    max_in_flight: 12,
  };
  return {
    version: 1,
    routes: [route],
    services: [{ name: Service.generation, max_connections: 1_000, engine }],
    tenants: [{ name: 'tenant-1', api_keys: [API_KEY] }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: TIMEOUT_MS,
    },
  };
}

async function startRouter(
  t: ExecutionContext,
  ip: string,
  storeAddress: string,
): Promise<RouterDeployment> {
  const port = await findFreePorts([ip], ROUTER_PORTS);
  const folder = mkdtempSync(join(tmpdir(), 'peatspan-stop-'));
  const file = join(folder, 'node.json');
  writeFileSync(file, JSON.stringify(routerSettings(ip, port, storeAddress)));
  const env = { PATH: process.env.PATH, PEATSPAN_BOOT: file };
  const router = spawn(process.execPath, [PROGRAM], { env, stdio: 'ignore' });
  t.teardown(() => {
    router.kill('SIGCONT');
    router.kill('SIGKILL');
    rmSync(folder, { recursive: true });
  });
  const readiness = `${ip}:${port + 1}`;
  const isReady = (): Promise<boolean> =>
    callJson(readiness, 'GET', '/readiness').then(
      ({ status }) => status === 200,
      () => false,
    );
  while (!(await isReady())) await wait(POLL_MS);
  return { router, ip, port };
}

function routerSettings(ip: string, firstPort: number, storeAddress: string): object {
  const addressOf = (offset: number): string => `${ip}:${firstPort + offset}`;
  return {
    node_name: 'router-1',
    role: 'router',
    ip,
    zone: 'zone-a',
    region: 'region-a',
    listen_addresses: { frontend: addressOf(0), ready: addressOf(1), directory: addressOf(2) },
    internal_port_range: [firstPort + 3, firstPort + 4],
    seeds: [`${ip}:1`],
    limits: { cpu_share: 0.7, cores: 1 },
    bounds: BOUNDS,
    platform: { address: storeAddress },
  };
}
