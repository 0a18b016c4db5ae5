/** Guards against outdated, repeated or undecodable heartbeats in reports. */
import test from 'ava';
import { GroupHeartbeats } from '../../src/coordination/gateway/group-heartbeats.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { memberKey } from '../../src/state/member-key.js';

const SHARED = 16;
const STEP_MS = 100;

async function heartbeatsOf(members: readonly string[], clock: VirtualClock, seed: number) {
  const heartbeats = new GroupHeartbeats(clock, new SeededRandom(seed));
  heartbeats.retain(members);
  heartbeats.recordRunning();
  await clock.advance(STEP_MS);
  heartbeats.recordRunning();
  return heartbeats;
}

function membersUpTo(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

test('reports contain distinct members, cover all recent ones and leave out old heartbeats', async (t) => {
  const members = membersUpTo(40);
  const clock = new VirtualClock();
  const heartbeats = await heartbeatsOf(members, clock, 1);
  heartbeats.recordHeartbeat('router-0');
  const OLD_MS = 2_000;
  for (let passedMs = 0; passedMs < OLD_MS; passedMs += STEP_MS) {
    await clock.advance(STEP_MS);
    heartbeats.recordRunning();
  }
  for (const member of members.slice(1)) heartbeats.recordHeartbeat(member);
  const REPORTS = 30;
  const seen = new Set<number>();
  for (let report = 0; report < REPORTS; report += 1) {
    const { heardMembers, heardAgesMs } = heartbeats.sample();
    t.is(heardAgesMs.length, SHARED);
    t.is(new Set(heardMembers).size, SHARED);
    for (const key of heardMembers) seen.add(key);
  }
  t.deepEqual([...seen].sort(), members.slice(1).map(memberKey).sort());
});

test('a router applies reported heartbeats only of members that it knows', async (t) => {
  const members = membersUpTo(5);
  const clock = new VirtualClock();
  const sender = await heartbeatsOf(members, clock, 1);
  const receiver = await heartbeatsOf(members, clock, 2);
  for (const member of members) sender.recordHeartbeat(member);
  receiver.merge(sender.sample());
  for (const member of members) t.is(receiver.heartbeatAgeMs(member), 0);
  const stranger = await heartbeatsOf(['router-9'], clock, 3);
  stranger.merge(sender.sample());
  t.is(stranger.heartbeatAgeMs('router-0'), Infinity);
});
