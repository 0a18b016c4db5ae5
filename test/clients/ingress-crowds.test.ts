/**
 * Guards against clients that make a router hold or do more than their requests are worth. One crowd
 * at a time stays at the ingress of a router with small limits; the process must live within them,
 * and ordinary requests must be served.
 */
import test from 'ava';
import {
  API_KEY,
  MAXIMUM_BODY_BYTES,
  STREAM_PATH,
  UPLOAD_PATH,
} from '../helpers/limited-router.js';
import {
  pipelined,
  promptHeads,
  repeated,
  unendedHead,
  unendedUpload,
  wholeUpload,
} from '../../soak/client-crowds.js';
import { checkRouter, outliveCrowd, startAlone } from '../helpers/crowd-checks.js';
import { sendBytes } from '../helpers/raw-client.js';

const UNKNOWN_KEY = 'key-of-nobody';

test.serial('a whole body in chunks of one byte is served, and its router lives', async (t) => {
  const router = await startAlone(t);
  const upload = wholeUpload(UPLOAD_PATH, API_KEY, 4_160_000, 1);
  const statusLine = await sendBytes(router.listeners.ingress, upload);
  await checkRouter(t, router);
  t.is(statusLine, 'HTTP/1.1 200 OK');
});

test.serial('a router outlives bodies in chunks of one byte without an end', (t) =>
  outliveCrowd(t, {
    clients: 60,
    bytesOf: () => unendedUpload(UPLOAD_PATH, API_KEY, 108_000, 1),
  }),
);

test.serial('a router outlives bodies in chunks of one byte with a key that nobody has', (t) =>
  outliveCrowd(t, {
    clients: 60,
    bytesOf: () => unendedUpload(UPLOAD_PATH, UNKNOWN_KEY, 108_000, 1),
  }),
);

test.serial('a router outlives long bodies in chunks of 24 bytes without an end', (t) =>
  outliveCrowd(t, {
    clients: 12,
    bytesOf: () => unendedUpload(UPLOAD_PATH, API_KEY, 3_800_000, 24),
  }),
);

test.serial('a router outlives long bodies in large chunks without an end', (t) =>
  outliveCrowd(t, {
    clients: 60,
    bytesOf: () => unendedUpload(UPLOAD_PATH, API_KEY, MAXIMUM_BODY_BYTES - 65_536, 65_536),
  }),
);

test.serial('a router outlives 350 bodies of 100 kB that stop just short of their end', (t) =>
  outliveCrowd(t, {
    clients: 350,
    bytesOf: () => unendedUpload(UPLOAD_PATH, API_KEY, 100_000, 512),
    ordinaryBodyBytes: 110_000,
  }),
);

test.serial('a router outlives 150 bodies that stand still and fill the budget of bodies', (t) =>
  outliveCrowd(t, {
    clients: 150,
    bytesOf: () => unendedUpload(UPLOAD_PATH, API_KEY, 262_000, 524),
    ordinaryBodyBytes: 110_000,
  }),
);

test.serial('a router outlives 150 such bodies with a key that nobody has', (t) =>
  outliveCrowd(t, {
    clients: 150,
    bytesOf: () => unendedUpload(UPLOAD_PATH, UNKNOWN_KEY, 262_000, 524),
    ordinaryBodyBytes: 110_000,
  }),
);

test.serial('a router outlives pipelined heads that do not wait for their responses', (t) =>
  outliveCrowd(t, { clients: 20, bytesOf: () => pipelined(UPLOAD_PATH, API_KEY, 3_000, 600) }),
);

test.serial('a router outlives pipelined heads whose responses are not read', (t) =>
  outliveCrowd(t, {
    clients: 100,
    bytesOf: () => pipelined('/unknown/x', API_KEY, 3_000, 200),
    isReading: false,
  }),
);

test.serial('a router outlives the smallest heads, pipelined', (t) =>
  outliveCrowd(t, {
    clients: 100,
    bytesOf: () => repeated(Buffer.from('GET / HTTP/1.1\r\nHost:\r\n\r\n'), 20_000),
  }),
);

test.serial('a router outlives heads of 60 kB without an end', (t) =>
  outliveCrowd(t, { clients: 500, bytesOf: () => unendedHead(UPLOAD_PATH, 60_000) }),
);

test.serial('a router outlives pipelined bodies in chunks of one byte behind each other', (t) =>
  outliveCrowd(t, {
    clients: 40,
    bytesOf: () => repeated(Buffer.concat([...wholeUpload(UPLOAD_PATH, API_KEY, 200, 1)]), 2_000),
  }),
);

test.serial('a router outlives heads that each name other models and thousands of parts', (t) =>
  outliveCrowd(t, {
    clients: 20,
    bytesOf: (client) => promptHeads(STREAM_PATH, API_KEY, client, 1_000),
  }),
);

test.serial('a router outlives more idle connections at its ingress than it has descriptors', (t) =>
  outliveCrowd(t, { clients: 700, bytesOf: () => [] }),
);
