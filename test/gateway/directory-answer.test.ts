/** Which routers a caller is told of. */
import test from 'ava';
import { addressesFor } from '../../src/coordination/gateway/directory-answer.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { MemberStatus, type MemberUpdate } from '../../src/state/membership.js';

const ANSWERS = 4_000;
const PLACE = { zone: 'zone-a', region: 'region-a' };

function member(nodeId: string, capacity: number, zone = 'zone-a'): MemberUpdate {
  return {
    nodeId,
    zone,
    region: 'region-a',
    capacity,
    peerAddress: `${nodeId}:80`,
    gossipAddress: `${nodeId}:7000`,
    status: MemberStatus.Alive,
    incarnation: 1,
  };
}

/** Share of answers in which each address stands. */
function shares(members: readonly MemberUpdate[]): Map<string, number> {
  const random = new SeededRandom(7);
  const counts = new Map<string, number>();
  for (let answer = 0; answer < ANSWERS; answer += 1) {
    for (const address of addressesFor(PLACE, members, random)) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  return new Map([...counts].map(([address, count]) => [address, count / ANSWERS]));
}

test('routers stand in as many answers as their capacity is of the largest', (t) => {
  const small = Array.from({ length: 6 }, (_, index) => member(`small-${index}`, 300));
  const large = [member('large-0', 1_200), member('large-1', 1_200)];
  const told = shares([...small, ...large]);
  for (const { peerAddress } of large) t.is(told.get(peerAddress), 1);
  for (const { peerAddress } of small) {
    t.true(Math.abs((told.get(peerAddress) ?? 0) - 0.25) < 0.03);
  }
});

test('equal routers stand in every answer, unknown capacities too', (t) => {
  for (const capacity of [0, 700]) {
    const told = shares(Array.from({ length: 5 }, (_, index) => member(`r-${index}`, capacity)));
    t.deepEqual([...told.values()], [1, 1, 1, 1, 1]);
  }
});

test('an answer names two routers at least, however unequal they are', (t) => {
  const members = [member('large', 10_000), ...['a', 'b', 'c'].map((id) => member(id, 100))];
  const random = new SeededRandom(3);
  for (let answer = 0; answer < 200; answer += 1) {
    t.true(addressesFor(PLACE, members, random).length >= 2);
  }
});

test('a caller whose zone has too few routers is told of its region', (t) => {
  const members = [
    member('near', 700),
    member('far-0', 700, 'zone-b'),
    member('far-1', 700, 'zone-b'),
  ];
  t.is(addressesFor(PLACE, members, new SeededRandom(1)).length, 3);
});
