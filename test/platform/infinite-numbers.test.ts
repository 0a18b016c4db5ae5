/** Guards against entries that a router and those that read through it decode differently. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { platformDecoder } from '../../platform/formats.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { ListFreshness } from '../../src/protocol/object-store/port.js';
import { ChangeEncoder } from '../../src/protocol/peer/encoded-changes.js';
import { decodeRelayFrame, encodeRelayResponse } from '../../src/protocol/peer/relay-codec.js';
import { entryText } from '../helpers/odd-entries.js';

const FIELDS = ['slots', 'born', 'version', 'zone', 'models', 'sequence', 'unknown'];
const NUMBERS = ['1e400', '-1e400', '9'.repeat(400), '[1e400]', '9007199254740993', '-1', '0.5'];

test('an entry with numbers of any size is the same to a reader and to its followers', async (t) => {
  const entries = FIELDS.flatMap((field) => NUMBERS.map((text) => entryText({ [field]: text })));
  const items = entries.map(
    (spec, index) => `{"metadata":{"name":"${index}","revision":1},"spec":${spec}}`,
  );
  const server = createServer((_request, response) => {
    response.end(`{"items":[${items.join(',')}],"more":false,"at":9}`);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = new ObjectStoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => {
    client.close();
    server.close();
  });
  const { objects, position } = await client.list('servers', ListFreshness.Current);
  const changes = new ChangeEncoder().encode(objects.map((object) => ({ object, isGone: false })));
  const head = { number: 1, isKnown: true, position, proofAgeMs: 0, heldMs: 0 };
  const message = decodeRelayFrame(encodeRelayResponse(head, { kind: 'plain', changes }));
  if (message?.kind !== 'answer') return t.fail();
  t.is(message.answer.events.length, entries.length);
  for (const [index, { object }] of message.answer.events.entries()) {
    const own = objects[index];
    if (!own) return t.fail();
    t.deepEqual(platformDecoder.engine(object), platformDecoder.engine(own), entries[index]);
  }
});
