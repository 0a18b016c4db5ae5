/** Guards against callers whose requests a router has accepted and a stop signal during its start cuts. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import test, { type ExecutionContext } from 'ava';
import { findFreePorts } from '../../soak/free-ports.js';
import { BOUNDS } from '../../soak/router-process.js';
import { wait } from '../helpers/event-loop.js';

const PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));
const IP = '127.0.44.1';
const PORTS = 6;
const STARTS = 3;
const CONNECT_GAP_MS = 1;

function settingsAt(firstPort: number): object {
  const addressOf = (offset: number): string => `${IP}:${firstPort + offset}`;
  return {
    node_name: 'router-1',
    role: 'router',
    ip: IP,
    zone: 'zone-a',
    region: 'region-a',
    listen_addresses: { frontend: addressOf(0), directory: addressOf(1), ready: addressOf(2) },
    internal_port_range: [firstPort + 3, firstPort + 4],
    limits: { cpu_share: 0.7, cores: 1 },
    bounds: BOUNDS,
    // No store answers there.
    platform: { address: addressOf(PORTS - 1) },
  };
}

function startProgram(t: ExecutionContext, firstPort: number): ChildProcess {
  const folder = mkdtempSync(join(tmpdir(), 'peatspan-start-'));
  const file = join(folder, 'node.json');
  writeFileSync(file, JSON.stringify(settingsAt(firstPort)));
  const env = { PATH: process.env.PATH, PEATSPAN_BOOT: file };
  const child = spawn(process.execPath, [PROGRAM], { env, stdio: 'ignore' });
  t.teardown(() => {
    child.kill('SIGKILL');
    rmSync(folder, { recursive: true });
  });
  return child;
}

/** Connects as soon as the router listens. */
async function connectAtOnce(port: number): Promise<net.Socket> {
  for (;;) {
    const socket = net.connect(port, IP);
    const isOpen = await new Promise((resolve) => {
      socket.once('connect', () => resolve(true));
      socket.once('error', () => resolve(false));
    });
    if (isOpen) return socket;
    await wait(CONNECT_GAP_MS);
  }
}

test('a router that gets its stop signal as it begins to listen serves what it accepts', async (t) => {
  for (let start = 0; start < STARTS; start += 1) {
    const firstPort = await findFreePorts([IP], PORTS);
    const router = startProgram(t, firstPort);
    const exited = once(router, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
    const socket = await connectAtOnce(firstPort);
    router.kill('SIGTERM');
    let received = '';
    socket.on('data', (chunk) => (received += chunk.toString('latin1')));
    socket.write('GET /x/ HTTP/1.1\r\nHost: h.example\r\nX-Peatspan-Attempt-Id: 1\r\n\r\n');
    const [code, signal] = await exited;
    t.is(signal, null);
    t.is(code, 0);
    t.regex(received, /^HTTP\/1\.1 503 .*"no-configuration"\}$/s);
  }
});
