/** Guards against forwarded connections that a router keeps for good because it can't reset them. */
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import test, { type ExecutionContext } from 'ava';
import { encodeForwardRequest } from '../../src/protocol/peer/forwarding-codec.js';
import type { ForwarderReport } from '../helpers/forwarder-program.js';
import { wait } from '../helpers/socket-router.js';

const PROGRAM = fileURLToPath(new URL('../helpers/forwarder-program.js', import.meta.url));
/** More than the system buffers of a connection that is not read. */
const RESPONSE_BYTES = 50_000_000;
/** Until the connection takes nothing more. */
const SETTLING_MS = 300;
const POLLS = 100;
const POLL_MS = 20;

async function socketsOf(forwarder: ChildProcess): Promise<number> {
  forwarder.send('count');
  const [report] = (await once(forwarder, 'message')) as [ForwarderReport];
  return 'sockets' in report ? report.sockets : NaN;
}

/** An engine that sends more than the peer's connection takes. */
async function startLongEngine(t: ExecutionContext): Promise<string> {
  const server = net.createServer((socket) => {
    t.teardown(() => socket.destroy());
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(Buffer.alloc(RESPONSE_BYTES)));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

test('a forwarded connection whose peer stops reading is closed when it is reset', async (t) => {
  const address = await startLongEngine(t);
  const forwarder = fork(PROGRAM);
  t.teardown(() => forwarder.kill('SIGKILL'));
  const [report] = (await once(forwarder, 'message')) as [ForwarderReport];
  const [host, port] = ('address' in report ? report.address : '').split(':');
  const peer = net.connect({ host, port: Number(port) });
  t.teardown(() => peer.destroy());
  peer.on('error', () => undefined);
  peer.pause();
  peer.write(encodeForwardRequest({ engineId: 'engine-1', address }));
  peer.write('a request');
  await wait(SETTLING_MS);
  forwarder.send('close');
  let sockets = await socketsOf(forwarder);
  for (let polls = 0; sockets > 0 && polls < POLLS; polls += 1) {
    await wait(POLL_MS);
    sockets = await socketsOf(forwarder);
  }
  t.is(sockets, 0);
});
