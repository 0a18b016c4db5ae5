/**
 * `npm run bench:crashes -- [ROUTERS...]`: cost of engine crashes for a group of routers. Each
 * crash interrupts requests on several routers; all of them succeed on another engine soon after.
 */
import { SeededRandom, randomInteger } from '../src/runtime/random.js';
import { CrashAnnouncementHarness } from '../test/helpers/crash-announcement-harness.js';
import { profileMechanisms } from './mechanism-profile.js';

const DEFAULT_SIZES = [24, 79, 195];
const CRASHES = 90;
const CRASH_GAP_MS = 330;
const ROUTERS_PER_CRASH = 8;
const REQUESTS_PER_ROUTER = 2;
const MINIMUM_SUCCESS_DELAY_MS = 300;
const SUCCESS_DELAY_SPREAD_MS = 1_500;
const GROUP_JOIN_MS = 6_000;
const MICROSECONDS_PER_MS = 1_000;

/** Cost of one simulated run, summed over all routers. */
interface RunCost {
  readonly datagrams: number;
  readonly ownCodeMs: number;
}

async function measureRun(routers: number, crashes: number): Promise<RunCost> {
  const harness = new CrashAnnouncementHarness();
  for (let index = 0; index < routers; index += 1) await harness.start();
  await harness.clock.advance(GROUP_JOIN_MS);
  const before = harness.datagrams;
  const random = new SeededRandom(1);
  const times = await profileMechanisms(async () => {
    for (let crash = 0; crash < CRASHES; crash += 1) {
      if (crash < crashes) injectCrash(harness, crash, random);
      await harness.clock.advance(CRASH_GAP_MS);
    }
  });
  harness.stop();
  let ownCodeMs = 0;
  for (const [mechanism, spentMs] of times) {
    if (mechanism !== 'simulation' && mechanism !== 'garbage') ownCodeMs += spentMs;
  }
  return { datagrams: harness.datagrams - before, ownCodeMs };
}

function injectCrash(harness: CrashAnnouncementHarness, crash: number, random: SeededRandom): void {
  const engineId = `engine-${crash}`;
  for (let index = 0; index < ROUTERS_PER_CRASH; index += 1) {
    const router = randomInteger(random, harness.peers.length);
    const guard = harness.peers[router]?.guard;
    const fingerprints = Array.from({ length: REQUESTS_PER_ROUTER }, (_, request) =>
      [crash, index, request]
        .map((each) => each.toString(16).padStart(8, '0'))
        .join('')
        .padStart(32, '0'),
    );
    harness.clock.setTimer(random.next() * 50, () => guard?.noteCrash({ engineId, fingerprints }));
    for (const fingerprint of fingerprints) {
      const delayMs = MINIMUM_SUCCESS_DELAY_MS + random.next() * SUCCESS_DELAY_SPREAD_MS;
      harness.clock.setTimer(delayMs, () => guard?.recordSuccess(fingerprint));
    }
  }
}

const requestedSizes = process.argv.slice(2).map(Number);
for (const routers of requestedSizes.length > 0 ? requestedSizes : DEFAULT_SIZES) {
  const baseline = await measureRun(routers, 0);
  const withCrashes = await measureRun(routers, CRASHES);
  const perRouterAndCrash = routers * CRASHES;
  const datagrams = (withCrashes.datagrams - baseline.datagrams) / perRouterAndCrash;
  const microseconds =
    ((withCrashes.ownCodeMs - baseline.ownCodeMs) * MICROSECONDS_PER_MS) / perRouterAndCrash;
  process.stdout.write(
    `${routers} routers, ${CRASHES} crashes: ${datagrams.toFixed(1)} datagrams and ` +
      `${microseconds.toFixed(0)} us added per router and crash ` +
      `(without crashes ${baseline.datagrams} datagrams, ${baseline.ownCodeMs.toFixed(0)} ms)\n`,
  );
}
process.exit(0);
