/** Guards the limits of all accepted connections, and who is closed where they are reached. */
import test from 'ava';
import fc from 'fast-check';
import {
  ConnectionAccount,
  type ConnectionShare,
  type EvictedConnection,
  EvictionReason,
} from '../src/transport/connection-account.js';
import {
  CONNECTION_BYTES,
  type ConnectionLimits,
  connectionLimitsOf,
} from '../src/transport/connection-limits.js';

const KILOBYTE = 1_024;
const MEGABYTE = 1_048_576;
const SEED = 88;

/** An account with the names of the connections that it has closed. */
function openAccount(limits: Omit<ConnectionLimits, 'idleToEngines'>): {
  account: ConnectionAccount;
  closed: string[];
  evicted: EvictedConnection[];
  accept: (name: string, reserve?: number) => ConnectionShare;
} {
  const closed: string[] = [];
  const evicted: EvictedConnection[] = [];
  const account = new ConnectionAccount({ ...limits, idleToEngines: 0 }, (each) =>
    evicted.push(each),
  );
  const accept = (name: string, reserve = 0): ConnectionShare =>
    account.accept(() => closed.push(name), reserve);
  return { account, closed, evicted, accept };
}

test('beyond the limit, the connection without a request for longest is closed', (t) => {
  const { account, closed, evicted, accept } = openAccount({ connections: 3, bytes: MEGABYTE });
  const first = accept('first');
  accept('second');
  accept('third');
  first.setRunning(true);
  first.setRunning(false);
  accept('fourth');
  t.deepEqual(closed, ['second']);
  t.is(account.connections, 3);
  t.is(account.evictions, 1);
  t.is(evicted[0]?.reason, EvictionReason.Connections);
});

test('a connection whose request runs is not closed for a newer one, which is closed itself', (t) => {
  const { account, closed, accept } = openAccount({ connections: 2, bytes: MEGABYTE });
  accept('first').setRunning(true);
  accept('second').setRunning(true);
  accept('third');
  t.deepEqual(closed, ['third']);
  accept('probe', 1);
  t.deepEqual(closed, ['third']);
  t.is(account.connections, 3);
});

test('beyond the bytes, the connection that holds most is closed, a running one last', (t) => {
  const { closed, accept } = openAccount({ connections: 9, bytes: 20 * CONNECTION_BYTES });
  const running = accept('running');
  running.setRunning(true);
  running.hold(9 * CONNECTION_BYTES);
  const small = accept('small');
  const large = accept('large');
  large.hold(4 * CONNECTION_BYTES);
  small.hold(8 * CONNECTION_BYTES);
  t.deepEqual(closed, ['small']);
  large.hold(11 * CONNECTION_BYTES);
  t.deepEqual(closed, ['small', 'large']);
  running.hold(25 * CONNECTION_BYTES);
  t.deepEqual(closed, ['small', 'large', 'running']);
});

test('a request that runs and holds no more than one takes is never closed', (t) => {
  const { closed, accept } = openAccount({ connections: 9, bytes: 8 * CONNECTION_BYTES });
  for (const name of ['first', 'second', 'third']) {
    const connection = accept(name);
    connection.setRunning(true);
    connection.hold(2 * CONNECTION_BYTES);
  }
  t.deepEqual(closed, []);
});

test('limits follow from the descriptors, the memory and the heap of the machine', (t) => {
  t.is(connectionLimitsOf({ memoryMb: 350, descriptors: 4_100 }).connections, 1_534);
  t.is(connectionLimitsOf({ memoryMb: 178, descriptors: 4_100 }).connections, 1_424);
  t.is(connectionLimitsOf({ memoryMb: 178, descriptors: 600 }).connections, 134);
  t.deepEqual(connectionLimitsOf(), connectionLimitsOf({ memoryMb: 178, descriptors: 2_212 }));
  const { bytes } = connectionLimitsOf({ memoryMb: 602, heapBytes: 100 * MEGABYTE });
  t.is(bytes, 25 * MEGABYTE);
});

test('the account counts what is open, and keeps its limits whatever the connections do', (t) => {
  const limits = { connections: 6, idleToEngines: 0, bytes: 30 * CONNECTION_BYTES };
  const step = fc.record({
    kind: fc.constantFrom('accept', 'hold', 'run', 'wait', 'release'),
    index: fc.nat(9),
    kilobytes: fc.nat(600),
  });
  const isKept = (steps: { kind: string; index: number; kilobytes: number }[]): void => {
    const account = new ConnectionAccount(limits);
    const open = new Map<ConnectionShare, { bytes: number; isRunning: boolean }>();
    for (const { kind, index, kilobytes } of steps) {
      const [share, state] = [...open][index] ?? [];
      if (kind === 'accept') {
        const state = { bytes: CONNECTION_BYTES, isRunning: false };
        let isClosed = false;
        const accepted: { share?: ConnectionShare } = {};
        accepted.share = account.accept(() => {
          isClosed = true;
          if (accepted.share) open.delete(accepted.share);
        });
        if (!isClosed) open.set(accepted.share, state);
      } else if (!share || !state) continue;
      else if (kind === 'release') {
        share.release();
        open.delete(share);
      } else if (kind === 'hold') {
        state.bytes = CONNECTION_BYTES + kilobytes * KILOBYTE;
        share.hold(kilobytes * KILOBYTE);
      } else {
        state.isRunning = kind === 'run';
        share.setRunning(state.isRunning);
      }
      const states = [...open.values()];
      t.is(account.connections, open.size);
      t.is(
        account.heldBytes,
        states.reduce((sum, { bytes }) => sum + bytes, 0),
      );
      t.true(account.connections <= limits.connections);
      const isOver = account.heldBytes > limits.bytes;
      t.true(!isOver || kind !== 'hold' || states.every((each) => each.isRunning));
    }
  };
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), isKept), { seed: SEED, numRuns: 300 });
  t.pass();
});
