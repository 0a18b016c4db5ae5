/**
 * Guards against clients that make a router hold or do too much at a listener other than its ingress:
 * all of them share its memory, its descriptors and its one thread.
 */
import test from 'ava';
import { endlessBody, pipelined, repeated, unendedHead } from '../../soak/client-crowds.js';
import { outliveCrowd } from '../helpers/crowd-checks.js';
import { HOST, WireKind } from '../../soak/wire.js';
import { encodeRelayQuery } from '../../src/protocol/peer/relay-codec.js';
import { FRAME_HEADER_BYTES } from '../../src/transport/frame-splitter.js';

const DIRECTORY_PATH = '/resolve?zone=zone-a&region=region-a';
const IDLE = { clients: 700, bytesOf: () => [] };
const OVERSIZED_FRAME = Buffer.from([0xff, 0xff, 0xff, 0xff]);
/** Header of the largest frame that routers send each other. */
const LARGEST_FRAME = Buffer.from([0x00, 0x80, 0x00, 0x00]);

function* chunkedCall(path: string): Iterable<Buffer> {
  yield Buffer.from(`POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n\r\n`);
  yield* endlessBody(400_000, 1);
}

test.serial('a router outlives bodies in chunks of one byte at its directory', (t) =>
  outliveCrowd(t, { clients: 60, bytesOf: () => chunkedCall(DIRECTORY_PATH) }, 'directory'),
);

test.serial('a router outlives pipelined calls of its directory that are not read', (t) =>
  outliveCrowd(
    t,
    { clients: 100, bytesOf: () => pipelined(DIRECTORY_PATH, '', 3_000, 150), isReading: false },
    'directory',
  ),
);

test.serial('a router outlives pipelined calls of its readiness that are not read', (t) =>
  outliveCrowd(
    t,
    { clients: 100, bytesOf: () => pipelined('/readiness', '', 3_000, 150), isReading: false },
    'readiness',
  ),
);

test.serial('a router outlives pipelined calls of its metrics that are not read', (t) =>
  outliveCrowd(
    t,
    { clients: 20, bytesOf: () => pipelined('/metrics', '', 500, 150), isReading: false },
    'metrics',
  ),
);

test.serial('a router outlives heads of 15 kB without an end at its directory', (t) =>
  outliveCrowd(
    t,
    { clients: 500, bytesOf: () => unendedHead(DIRECTORY_PATH, 15_000) },
    'directory',
  ),
);

test.serial('a router outlives more idle connections at its directory than descriptors', (t) =>
  outliveCrowd(t, IDLE, 'directory'),
);

test.serial('a router outlives more idle connections at its readiness than descriptors', (t) =>
  outliveCrowd(t, IDLE, 'readiness'),
);

test.serial('a router outlives more idle connections at its metrics than descriptors', (t) =>
  outliveCrowd(t, IDLE, 'metrics'),
);

test.serial('a router outlives more idle connections for frames than descriptors', (t) =>
  outliveCrowd(t, IDLE, 'peers'),
);

test.serial('a router outlives more idle connections for forwarding than descriptors', (t) =>
  outliveCrowd(t, IDLE, 'forwarding'),
);

test.serial('a router outlives frames of the largest size without an end', (t) =>
  outliveCrowd(
    t,
    {
      clients: 60,
      *bytesOf() {
        yield LARGEST_FRAME;
        yield* repeated(Buffer.alloc(65_536), 120);
      },
    },
    'peers',
  ),
);

test.serial('a router outlives frames that arrive byte by byte', (t) =>
  outliveCrowd(
    t,
    {
      clients: 200,
      *bytesOf() {
        yield LARGEST_FRAME;
        for (let sent = 0; sent < 100_000; sent += 1) yield Buffer.from('x');
      },
      pauseMs: 0,
    },
    'peers',
  ),
);

/** Queries of the store relay for all objects of a kind, in one piece. */
function queriesFor(kinds: readonly string[]): Buffer {
  return Buffer.concat(
    kinds.flatMap((kind, index) => {
      const query = { number: index + 1, kind, position: undefined, waitMs: 5_000 };
      const frame = encodeRelayQuery({ ...query, acceptsDeflated: false });
      const header = Buffer.alloc(FRAME_HEADER_BYTES);
      header.writeUInt32BE(frame.length);
      return [header, frame];
    }),
  );
}

test.serial('a router outlives queries of other routers whose responses are not read', (t) => {
  const query = queriesFor([WireKind.configuration]);
  return outliveCrowd(
    t,
    { clients: 60, bytesOf: () => repeated(query, 20_000), isReading: false },
    'peers',
  );
});

test.serial('a router outlives queries for kinds of objects that nobody follows', (t) => {
  const queries = Array.from({ length: 40 }, (_, client) =>
    queriesFor(Array.from({ length: 5_000 }, (__, index) => `kind-${client}-${index}`)),
  );
  return outliveCrowd(
    t,
    { clients: 40, bytesOf: (client) => [queries[client] as Buffer] },
    'peers',
  );
});

test.serial('a router outlives oversized frames for forwarding', (t) =>
  outliveCrowd(t, { clients: 200, bytesOf: () => [OVERSIZED_FRAME] }, 'forwarding'),
);
