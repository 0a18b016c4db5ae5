/**
 * `npm run bench:crashes -- [ROUTERS...]`: what crashes of engines cost a group of routers. Of each engine that
 * crashes several routers see requests break; nearly all these requests end well elsewhere soon after.
 */
import { SeededRandom, randomInteger } from '../src/runtime/random.js';
import { CrashAnnouncementHarness } from '../test/helpers/crash-announcement-harness.js';
import { profileMechanisms } from './mechanism-profile.js';

const DEFAULT_SIZES = [24, 79, 195];
const CRASHES = 90;
const CRASH_GAP_MS = 330;
const ROUTERS_PER_CRASH = 8;
const REQUESTS_PER_ROUTER = 2;
const FIRST_GOOD_END_MS = 300;
const GOOD_END_SPREAD_MS = 1_500;
const JOINED_MS = 6_000;
const MICROSECONDS_PER_MS = 1_000;

/** What one day cost all routers together. */
interface DayCost {
  readonly datagrams: number;
  readonly ownCodeMs: number;
}

async function playDay(routers: number, crashes: number): Promise<DayCost> {
  const world = new CrashAnnouncementHarness();
  for (let index = 0; index < routers; index += 1) await world.start();
  await world.clock.advance(JOINED_MS);
  const before = world.datagrams;
  const random = new SeededRandom(1);
  const times = await profileMechanisms(async () => {
    for (let crash = 0; crash < CRASHES; crash += 1) {
      if (crash < crashes) playCrash(world, crash, random);
      await world.clock.advance(CRASH_GAP_MS);
    }
  });
  world.stop();
  let ownCodeMs = 0;
  for (const [mechanism, spentMs] of times) {
    if (mechanism !== 'simulation' && mechanism !== 'garbage') ownCodeMs += spentMs;
  }
  return { datagrams: world.datagrams - before, ownCodeMs };
}

function playCrash(world: CrashAnnouncementHarness, crash: number, random: SeededRandom): void {
  const engineId = `engine-${crash}`;
  for (let index = 0; index < ROUTERS_PER_CRASH; index += 1) {
    const router = randomInteger(random, world.peers.length);
    const guard = world.peers[router]?.guard;
    const fingerprints = Array.from({ length: REQUESTS_PER_ROUTER }, (_, request) =>
      [crash, index, request]
        .map((each) => each.toString(16).padStart(8, '0'))
        .join('')
        .padStart(32, '0'),
    );
    world.clock.setTimer(random.next() * 50, () => guard?.noteCrash({ engineId, fingerprints }));
    for (const fingerprint of fingerprints) {
      const delayMs = FIRST_GOOD_END_MS + random.next() * GOOD_END_SPREAD_MS;
      world.clock.setTimer(delayMs, () => guard?.noteGoodEnd(fingerprint));
    }
  }
}

const given = process.argv.slice(2).map(Number);
for (const routers of given.length > 0 ? given : DEFAULT_SIZES) {
  const calm = await playDay(routers, 0);
  const day = await playDay(routers, CRASHES);
  const perRouterAndCrash = routers * CRASHES;
  const datagrams = (day.datagrams - calm.datagrams) / perRouterAndCrash;
  const microseconds = ((day.ownCodeMs - calm.ownCodeMs) * MICROSECONDS_PER_MS) / perRouterAndCrash;
  process.stdout.write(
    `${routers} routers, ${CRASHES} crashes: ${datagrams.toFixed(1)} datagrams and ` +
      `${microseconds.toFixed(0)} us more a router and crash ` +
      `(calm ${calm.datagrams} datagrams, ${calm.ownCodeMs.toFixed(0)} ms)\n`,
  );
}
process.exit(0);
