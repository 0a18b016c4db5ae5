/** Guards against wrong detection of stopped engines. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer } from 'node:net';
import test from 'ava';
import { checkListener } from '../../platform/listener-check.js';
import { ListenerState } from '../../src/protocol/inference/port.js';
import { holdEventLoop } from '../helpers/event-loop.js';

test.serial(
  'an address is listening while a server accepts connections, and refused afterwards',
  async (t) => {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    t.is(await checkListener(address), ListenerState.Listening);
    // An accepted connection keeps other processes from listening at the port meanwhile.
    const accepted = once(server, 'connection');
    const client = connect(port, '127.0.0.1');
    await accepted;
    const closed = new Promise((resolve) => server.close(resolve));
    t.is(await checkListener(address), ListenerState.Refused);
    client.destroy();
    await closed;
  },
);

test.serial(
  'a delay of the router is not taken for an engine that does not accept connections',
  async (t) => {
    const server = createServer();
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const check = checkListener(`127.0.0.1:${port}`);
    // Longer than the check waits for the connection.
    holdEventLoop(500);
    t.is(await check, ListenerState.Listening);
  },
);
