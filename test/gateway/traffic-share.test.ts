/** Guards against a share of the traffic that is not above 0 and at most 1. */
import test from 'ava';
import { TrafficShare } from '../../src/coordination/gateway/traffic-share.js';
import { type MemberUpdate, MemberStatus } from '../../src/state/membership.js';

function member(index: number, capacity = 1_000): MemberUpdate {
  return {
    nodeId: `node-${index}`,
    peerAddress: `node-${index}:80`,
    gossipAddress: `node-${index}:7000`,
    zone: 'zone-a',
    region: 'region-a',
    capacity,
    status: MemberStatus.Alive,
    incarnation: 1,
  };
}

function shareAmong(working: readonly MemberUpdate[], capacity = 1_000): number {
  return new TrafficShare({ working, own: member(0), isSettled: true }, capacity).now;
}

test('a router that leaves a group without other members has the whole traffic', (t) => {
  // An infinite share makes the expected wait of a request indefinite, so that it is rejected.
  t.is(shareAmong([]), 1);
});

test('the traffic is shared by capacity, or equally if none is known', (t) => {
  t.is(shareAmong([member(0), member(1, 3_000)]), 0.25);
  t.is(shareAmong([member(0, 0), member(1, 0)], 0), 0.5);
});
