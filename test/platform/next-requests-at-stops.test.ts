/** Guards against resets of requests that wait in a kept connection when a stopping router closes it. */
import test from 'ava';
import type { Reply } from '../../src/coordination/gateway/reply.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';
import { GET, connect, startIngress, waitUntil } from '../helpers/ingress-harness.js';

const BODY = Buffer.from('ok');

test.serial(
  'a request that waits in its socket as the response before it has been sent in a stop is answered',
  async (t) => {
    const harness = await startIngress(t);
    const client = connect(harness.port);
    client.socket.write(GET);
    await waitUntil(() => harness.requests.length === 1);
    const first = harness.requests[0]?.reply as Reply;
    // Its head states that the connection stays open.
    first.begin(200, [], { kind: BodyFraming.Length, bytes: BODY.length });
    await waitUntil(() => client.received().includes('\r\n\r\n'));
    harness.ingress.drain();
    harness.ingress.close();
    await new Promise((resolve) => setTimeout(resolve, 50));
    first.write(BODY);
    first.end();
    // The caller has the response, and the router has no processor time to note that it was sent.
    client.socket.write(GET);
    let isClosed = false;
    void client.closed.then(() => (isClosed = true));
    await waitUntil(() => isClosed || harness.requests.length === 2);
    harness.requests[1]?.reply.refuse({ status: 503, reason: 'stopping' });
    await client.closed;
    t.is(harness.requests.length, 2);
    t.regex(client.received(), /ok.*HTTP\/1\.1 503 .*Connection: close\r\n/s);
  },
);
