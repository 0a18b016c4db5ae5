/** Guards against a delayed forwarder that takes opened connections for unreachable engines. */
import net from 'node:net';
import test from 'ava';
import { readFirstFrame } from '../../src/protocol/peer/first-frame.js';
import {
  ForwardStatus,
  decodeForwardReply,
  encodeForwardRequest,
} from '../../src/protocol/peer/forwarding-codec.js';
import { ForwardingDecision } from '../../src/protocol/peer/forwarding-port.js';
import { TcpForwarding } from '../../src/protocol/peer/forwarding-server.js';
import { parseAddress } from '../../src/transport/address.js';
import { holdEventLoop } from '../helpers/event-loop.js';

/** Longer than a forwarder waits for a connection to an engine. */
const HELD_MS = 500;

test.serial(
  'a delay of a forwarder is not taken for an engine that can not be reached',
  async (t) => {
    const engine = net.createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((resolve) => engine.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(engine.address() as net.AddressInfo).port}`;
    const outcomes: boolean[] = [];
    const forwarder = await new TcpForwarding().listen('127.0.0.1:0', {
      decide: () => {
        // Runs after the connection to the engine has been begun.
        process.nextTick(() => holdEventLoop(HELD_MS));
        return ForwardingDecision.Accepted;
      },
      onConnected: (_target, isSuccess) => outcomes.push(isSuccess),
    });
    const { host, port } = parseAddress(forwarder.address);
    const router = net.connect({ host, port });
    t.teardown(() => {
      router.destroy();
      forwarder.close();
      engine.close();
    });
    router.once('connect', () =>
      router.write(encodeForwardRequest({ engineId: 'engine-1', address })),
    );
    const contents = await new Promise<Uint8Array>((resolve) => readFirstFrame(router, resolve));
    t.is(ForwardStatus[decodeForwardReply(contents)], 'CONNECTED');
    t.deepEqual(outcomes, [true]);
  },
);
