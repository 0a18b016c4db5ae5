/** Guards against a cached list of working members that is outdated or rebuilt without a change. */
import test from 'ava';
import { SeededRandom } from '../../src/runtime/random.js';
import { type MemberUpdate, MemberStatus, Membership } from '../../src/state/membership.js';

function identity(index: number) {
  return {
    nodeId: `node-${index}`,
    peerAddress: `node-${index}:80`,
    gossipAddress: `node-${index}:7000`,
    zone: 'zone-a',
    region: 'region-a',
    capacity: 1_000,
  };
}

function update(index: number, status: MemberStatus, incarnation = 1): MemberUpdate {
  return { ...identity(index), status, incarnation };
}

function idsOf(membership: Membership): string[] {
  return membership.working().map(({ nodeId }) => nodeId);
}

test('the same list is returned until a member changes, then an updated one', (t) => {
  const membership = new Membership(identity(0), 1, [], new SeededRandom(1));
  membership.mergeAll([update(1, MemberStatus.Alive), update(2, MemberStatus.Alive)], 0);
  const before = membership.working();
  t.is(membership.working(), before);
  membership.mergeAll([update(1, MemberStatus.Alive)], 1);
  t.is(membership.working(), before);

  membership.mergeAll([update(1, MemberStatus.Suspect)], 2);
  t.is(membership.working()[1]?.status, MemberStatus.Suspect);
  membership.mergeAll([update(1, MemberStatus.Dead)], 3);
  t.deepEqual(idsOf(membership), ['node-0', 'node-2']);
  t.is(membership.knownCount, 3);
});

test('the list contains the current update of the own member', (t) => {
  const membership = new Membership(identity(0), 1, [], new SeededRandom(1));
  t.is(membership.working()[0], membership.own);
  membership.mergeAll([update(0, MemberStatus.Dead, 5)], 0);
  t.is(membership.own.incarnation, 6);
  t.is(membership.working()[0], membership.own);
  membership.leave();
  t.deepEqual(idsOf(membership), []);
});

test('forgotten members are not counted', (t) => {
  const membership = new Membership(identity(0), 1, [], new SeededRandom(1));
  membership.mergeAll([update(1, MemberStatus.Alive)], 0);
  membership.mergeAll([update(1, MemberStatus.Dead)], 0);
  const FORGOTTEN_MS = 700_000;
  membership.tick(FORGOTTEN_MS);
  t.is(membership.knownCount, 1);
});
