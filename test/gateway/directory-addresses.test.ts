/** Guards against directory responses that ignore the zone or the capacity of routers. */
import test from 'ava';
import { addressesFor } from '../../src/coordination/gateway/directory-addresses.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { MemberStatus, type MemberUpdate } from '../../src/state/membership.js';

const RESPONSES = 4_000;
const LOCATION = { zone: 'zone-a', region: 'region-a' };

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

/** Share of responses that contain each address. */
function shares(members: readonly MemberUpdate[]): Map<string, number> {
  const random = new SeededRandom(7);
  const counts = new Map<string, number>();
  for (let response = 0; response < RESPONSES; response += 1) {
    for (const address of addressesFor(LOCATION, members, random)) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  return new Map([...counts].map(([address, count]) => [address, count / RESPONSES]));
}

test('the share of responses with a router is the ratio of its capacity to the largest', (t) => {
  const small = Array.from({ length: 6 }, (_, index) => member(`small-${index}`, 300));
  const large = [member('large-0', 1_200), member('large-1', 1_200)];
  const shareByAddress = shares([...small, ...large]);
  for (const { peerAddress } of large) t.is(shareByAddress.get(peerAddress), 1);
  for (const { peerAddress } of small) {
    t.true(Math.abs((shareByAddress.get(peerAddress) ?? 0) - 0.25) < 0.03);
  }
});

test('routers of equal or unknown capacity are part of every response', (t) => {
  for (const capacity of [0, 700]) {
    const shareByAddress = shares(
      Array.from({ length: 5 }, (_, index) => member(`r-${index}`, capacity)),
    );
    t.deepEqual([...shareByAddress.values()], [1, 1, 1, 1, 1]);
  }
});

test('a response contains at least two routers, even with very unequal capacities', (t) => {
  const members = [member('large', 10_000), ...['a', 'b', 'c'].map((id) => member(id, 100))];
  const random = new SeededRandom(3);
  for (let response = 0; response < 200; response += 1) {
    t.true(addressesFor(LOCATION, members, random).length >= 2);
  }
});

test('a caller whose zone has too few routers gets those of its region', (t) => {
  const members = [
    member('near', 700),
    member('far-0', 700, 'zone-b'),
    member('far-1', 700, 'zone-b'),
  ];
  t.is(addressesFor(LOCATION, members, new SeededRandom(1)).length, 3);
});
