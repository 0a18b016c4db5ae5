/** The store of a test's deployment, in a process of its own, and the entries that engines keep there. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { listeningPort } from '../../soak/listening-port.js';
import { MODEL, WireKind, callJson } from '../../soak/wire.js';

const STORE_PROGRAM = fileURLToPath(new URL('../../soak/store-program.js', import.meta.url));
const HEARTBEAT_MS = 1_200;

/** Runs what ends a process or a server; the context of a test does. */
export interface Cleanup {
  teardown(end: () => void): void;
}

/** A running store. */
export interface TestStore {
  /** HOST:PORT. */
  readonly address: string;
  put(kind: string, name: string, spec: unknown): Promise<unknown>;
}

/** Starts a store that holds a configuration and the weights of {@link MODEL}. */
export async function startStore(t: Cleanup, configuration: object): Promise<TestStore> {
  const store = fork(STORE_PROGRAM);
  t.teardown(() => store.kill('SIGKILL'));
  const address = `127.0.0.1:${await listeningPort(store)}`;
  const put = (kind: string, name: string, spec: unknown): Promise<unknown> =>
    callJson(address, 'PUT', `/objects/${kind}/${name}`, { metadata: { name }, spec });
  await put(WireKind.weights, MODEL, { model: MODEL, version: 1 });
  await put(WireKind.configuration, 'main', configuration);
  return { address, put };
}

/** Writes the entries of engines now and with each heartbeat. */
export async function keepEntries(t: Cleanup, write: () => Promise<unknown>): Promise<void> {
  await write();
  // The store may end first.
  const heartbeats = setInterval(() => void write().catch(() => undefined), HEARTBEAT_MS);
  t.teardown(() => clearInterval(heartbeats));
}
