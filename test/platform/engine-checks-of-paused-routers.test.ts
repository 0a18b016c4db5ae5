/**
 * Guards against whole answers that a router aborts because it was paused while it checked whether their
 * engine lives: its time-outs then end before it reads what has arrived.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { EngineClient } from '../../platform/engine-client.js';
import { checkListener } from '../../platform/listener-check.js';
import { IncarnationState, ListenerState } from '../../src/protocol/inference/port.js';

/** Longer than the time-outs of the checks. */
const PAUSE_MS = 700;
const STARTED_AT_MS = 1_000;

function pauseProcess(): void {
  const endMs = Date.now() + PAUSE_MS;
  while (Date.now() < endMs);
}

/** An engine whose report has left before the process is paused. */
async function startEngine(t: ExecutionContext): Promise<string> {
  const server = createServer((_request, response) => {
    response.end(JSON.stringify({ born: STARTED_AT_MS }));
    pauseProcess();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test.serial(
  'an engine that accepts a connection is found although the router pauses',
  async (t) => {
    const address = await startEngine(t);
    const state = checkListener(address);
    await new Promise((resolve) => process.nextTick(resolve));
    pauseProcess();
    t.is(await state, ListenerState.Listening);
  },
);

test.serial('an engine that has sent its report is found although the router pauses', async (t) => {
  const address = await startEngine(t);
  const engine = { id: 'engine@1', name: 'engine', address, startedAtMs: STARTED_AT_MS };
  const client = new EngineClient();
  t.is((await client.checkIncarnation(engine)).state, IncarnationState.Same);
});

test.serial(
  'an address that accepts no connection is unresponsive or refused in time',
  async (t) => {
    const state = await checkListener('127.0.0.1:1');
    t.is(state, ListenerState.Refused);
  },
);
