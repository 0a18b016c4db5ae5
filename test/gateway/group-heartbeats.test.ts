/** Which heartbeats a router shares, and that another one understands them. */
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
  heartbeats.noteRunning();
  await clock.advance(STEP_MS);
  heartbeats.noteRunning();
  return heartbeats;
}

function membersUpTo(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

test('a report shares different members, in time each of them, and not those heard long ago', async (t) => {
  const members = membersUpTo(40);
  const clock = new VirtualClock();
  const heartbeats = await heartbeatsOf(members, clock, 1);
  heartbeats.noteHeard('router-0');
  const OLD_MS = 2_000;
  for (let passedMs = 0; passedMs < OLD_MS; passedMs += STEP_MS) {
    await clock.advance(STEP_MS);
    heartbeats.noteRunning();
  }
  for (const member of members.slice(1)) heartbeats.noteHeard(member);
  const REPORTS = 30;
  const seen = new Set<number>();
  for (let report = 0; report < REPORTS; report += 1) {
    const { heardMembers, heardAgesMs } = heartbeats.share();
    t.is(heardAgesMs.length, SHARED);
    t.is(new Set(heardMembers).size, SHARED);
    for (const key of heardMembers) seen.add(key);
  }
  t.deepEqual([...seen].sort(), members.slice(1).map(memberKey).sort());
});

test('what is shared is understood by a router that knows the members', async (t) => {
  const members = membersUpTo(5);
  const clock = new VirtualClock();
  const sender = await heartbeatsOf(members, clock, 1);
  const receiver = await heartbeatsOf(members, clock, 2);
  for (const member of members) sender.noteHeard(member);
  receiver.take(sender.share());
  for (const member of members) t.is(receiver.silenceMs(member), 0);
  const stranger = await heartbeatsOf(['router-9'], clock, 3);
  stranger.take(sender.share());
  t.is(stranger.silenceMs('router-0'), Infinity);
});
