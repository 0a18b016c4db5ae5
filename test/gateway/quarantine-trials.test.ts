/**
 * Guards against sound requests that stay quarantined because no router may try them, and against trials
 * that cost more than a few engines.
 */
import test from 'ava';
import { CrashGuard, CrashSubject } from '../../src/coordination/gateway/crash-guard.js';
import {
  decodeCrashAnnouncements,
  encodeCrashAnnouncements,
} from '../../src/coordination/gateway/crash-announcement-codec.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { KINDS } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { HttpStatus } from '../../src/protocol/http-status.js';
import { RequestBody } from '../../src/runtime/request-body.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { CrashAnnouncements } from '../../src/state/routing/crash-announcement-queue.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { DEFAULT_REQUEST_QUARANTINE_POLICY } from '../../src/state/routing/quarantine-policy.js';
import { QuarantineTrials } from '../../src/state/routing/quarantine-trials.js';
import { fingerprintOf } from '../../src/state/routing/request-fingerprint.js';

const REQUEST = 'a'.repeat(32);
const ENGINES = ['engine-0', 'engine-1', 'engine-2'];
/** After a crash, until a trial may begin. */
const SETTLED_MS = 400;
/** Until the crash of a trial is judged. */
const JUDGED_MS = 500;
/** Longer than the pause after the first trial. */
const PAUSE_MS = 3_000;

/** One router's guard of requests. */
function createGuard(): { readonly clock: VirtualClock; readonly guard: CrashGuard } {
  const clock = new VirtualClock();
  const guard = new CrashGuard({
    subject: CrashSubject.Request,
    policy: DEFAULT_REQUEST_QUARANTINE_POLICY,
    statistics: new GatewayStatistics(),
    clock,
    logger: new NoopLogger(),
    announce: () => undefined,
  });
  return { clock, guard };
}

/** Engines crash together while copies of the request run at each of them. */
async function quarantineProvisionally(clock: VirtualClock, guard: CrashGuard): Promise<void> {
  await clock.advance(1_000);
  const sentMs = [clock.now() - 200];
  for (const engineId of ENGINES) guard.noteCrash({ engineId, fingerprints: [REQUEST], sentMs });
  await clock.advance(SETTLED_MS);
}

/** The request is tried, and its engine crashes. */
async function failTrial(clock: VirtualClock, guard: CrashGuard, engineId: string): Promise<void> {
  const sentMs = [clock.now()];
  await clock.advance(50);
  guard.noteCrash({ engineId, fingerprints: [REQUEST], sentMs });
}

test('copies that were in progress as engines crashed together prove nothing', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  t.true(guard.isQuarantined(REQUEST));
  t.false(guard.isConfirmed(REQUEST));
});

test('the success of a trial lifts the quarantine', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  t.true(guard.tryBeginTrial(REQUEST));
  t.true(guard.isTrialPausing(REQUEST));
  t.false(guard.tryBeginTrial(REQUEST));
  guard.recordSuccess(REQUEST);
  t.false(guard.isQuarantined(REQUEST));
});

test('the crash of a trial confirms the quarantine', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  t.true(guard.tryBeginTrial(REQUEST));
  await failTrial(clock, guard, 'engine-3');
  await clock.advance(JUDGED_MS);
  t.true(guard.isConfirmed(REQUEST));
  await clock.advance(PAUSE_MS);
  t.false(guard.tryBeginTrial(REQUEST));
});

// All engines crash once more, for the reason for which they had crashed before.
test('a trial whose engine crashes together with others is made once more', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  t.true(guard.tryBeginTrial(REQUEST));
  await failTrial(clock, guard, 'engine-3');
  guard.noteCrash({ engineId: 'engine-4', fingerprints: ['b'.repeat(32)] });
  await clock.advance(JUDGED_MS);
  t.false(guard.isConfirmed(REQUEST));
  await clock.advance(PAUSE_MS);
  t.true(guard.tryBeginTrial(REQUEST));
  await failTrial(clock, guard, 'engine-5');
  await clock.advance(JUDGED_MS);
  t.true(guard.isConfirmed(REQUEST));
});

// Trials that can't reach an engine used up the turns until the engines were back, and longer.
test('a trial that reaches no engine is followed by the next one at once', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  t.true(guard.tryBeginTrial(REQUEST));
  guard.withdrawTrial(REQUEST);
  await clock.advance(JUDGED_MS);
  t.is(guard.takeAnnouncements().provisional?.[0]?.trials, 0);
  t.true(guard.tryBeginTrial(REQUEST));
  await clock.advance(JUDGED_MS);
  t.is(guard.takeAnnouncements().provisional?.[0]?.trials, 1);
  t.false(guard.tryBeginTrial(REQUEST));
});

// Soak seed 92016: the only engine that was left restarted every 0.6 s, also without the request.
test.failing('a trial at an engine that crashes again and again is made once more', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  for (const startedAtMs of [1, 2]) {
    const engineId = incarnationOf('engine-3', startedAtMs);
    guard.noteCrash({ engineId, fingerprints: ['b'.repeat(32)] });
    await clock.advance(JUDGED_MS);
  }
  t.true(guard.tryBeginTrial(REQUEST));
  await failTrial(clock, guard, incarnationOf('engine-3', 3));
  await clock.advance(JUDGED_MS);
  t.false(guard.isConfirmed(REQUEST));
});

test('a router holds back while another one makes a trial, and knows its result', async (t) => {
  const { clock, guard } = createGuard();
  await quarantineProvisionally(clock, guard);
  const trial = { fingerprint: REQUEST, ageMs: SETTLED_MS, trials: 1, trialAgeMs: 10 };
  t.true(guard.receive({ crashes: [], quarantine: [], provisional: [trial] }, false));
  t.false(guard.tryBeginTrial(REQUEST));
  const crash = {
    engineId: 'engine-3',
    fingerprints: [REQUEST],
    ageMs: 5,
    sentAgesMs: [8],
  };
  guard.receive({ crashes: [crash], quarantine: [] }, false);
  await clock.advance(JUDGED_MS);
  t.true(guard.isConfirmed(REQUEST));
});

// Builds that make no trials quarantine sound requests for good, and announce that again and again.
test('a quarantine that a build without trials announces is provisional', async (t) => {
  const { clock, guard } = createGuard();
  await clock.advance(10_000);
  const announcement = { fingerprint: REQUEST, isCleared: false, ageMs: 5_000 };
  guard.receive({ crashes: [], quarantine: [announcement] }, false);
  t.true(guard.isQuarantined(REQUEST));
  t.false(guard.isConfirmed(REQUEST));
  t.true(guard.tryBeginTrial(REQUEST));
  await clock.advance(100);
  guard.recordSuccess(REQUEST);
  guard.receive({ crashes: [], quarantine: [{ ...announcement, ageMs: 5_200 }] }, false);
  t.false(guard.isQuarantined(REQUEST));
});

test('a crash that a build without times of sending announces counts as one with those at the same time', async (t) => {
  const { clock, guard } = createGuard();
  await clock.advance(10_000);
  for (const [index, engineId] of ENGINES.entries()) {
    const crash = { engineId, fingerprints: [REQUEST], ageMs: 20 * index };
    guard.receive({ crashes: [crash], quarantine: [] }, false);
  }
  t.true(guard.isQuarantined(REQUEST));
  t.false(guard.isConfirmed(REQUEST));
});

test('times of sending, confirmations and trials survive encoding and decoding', (t) => {
  const announcements: CrashAnnouncements = {
    crashes: [{ engineId: 'engine', fingerprints: [REQUEST], ageMs: 5, sentAgesMs: [80] }],
    quarantine: [{ fingerprint: REQUEST, isCleared: false, isConfirmed: true, ageMs: 7 }],
    provisional: [{ fingerprint: 'b'.repeat(32), ageMs: 900, trials: 2, trialAgeMs: 30 }],
  };
  t.deepEqual(decodeCrashAnnouncements(encodeCrashAnnouncements(announcements)), announcements);
});

interface TrialRun {
  readonly firstMs: number;
  readonly begun: number;
}

/** Time until an announcement has reached all routers. */
const SPREAD_MS = 150;
const STEP_MS = 10;
/** A request may be rejected for this long before one is tried. */
const RUN_MS = 8_000;
/** Less than the pause after the first trial. */
const AFTER_FIRST_MS = 1_000;
/** Sends that are allowed once a request has crashed three engines. */
const MAXIMUM_SENDS = 3;

/** Routers that receive the request with a probability, in each step, until one of them has tried it. */
function runTrials(routers: number, shareOfSteps: number, seed: number): TrialRun {
  const random = new SeededRandom(seed);
  const all = Array.from({ length: routers }, () => new QuarantineTrials());
  let firstMs = Infinity;
  let begun = 0;
  const told: { readonly atMs: number; readonly startedMs: number }[] = [];
  for (let nowMs = 0; nowMs < Math.min(RUN_MS, firstMs + AFTER_FIRST_MS); nowMs += STEP_MS) {
    for (const { atMs, startedMs } of told)
      if (atMs === nowMs) for (const trials of all) trials.note(REQUEST, 1, startedMs);
    all.forEach((trials, rank) => {
      if (random.next() >= shareOfSteps || !trials.tryBegin(REQUEST, 0, rank, nowMs)) return;
      begun += 1;
      firstMs = Math.min(firstMs, nowMs);
      told.push({ atMs: nowMs + SPREAD_MS, startedMs: nowMs });
    });
  }
  return { firstMs, begun };
}

for (const [routers, share] of [
  [3, 0.05],
  [60, 0.002],
  [390, 0.0006],
  [390, 0.01],
  [390, 0.5],
] as const) {
  test(`one of ${routers} routers, each with a request in ${share} of the steps, begins a trial soon`, (t) => {
    const runs = Array.from({ length: 200 }, (_, seed) => runTrials(routers, share, seed));
    const begun = runs.map((run) => run.begun);
    const mean = begun.reduce((sum, count) => sum + count, 0) / begun.length;
    t.log(`begun ${Math.min(...begun)} to ${Math.max(...begun)}, ${mean.toFixed(2)} on average`);
    t.log(`first after ${Math.max(...runs.map(({ firstMs }) => firstMs))} ms at most`);
    t.true(runs.every(({ firstMs }) => firstMs < RUN_MS));
    t.true(Math.max(...begun) <= MAXIMUM_SENDS, `${Math.max(...begun)}`);
  });
}

/** Each router has listed the stored quarantines by then. */
const LISTED_MS = 45_000;
const READS = 30;
const READ_INTERVAL_MS = 100;

// The record outlives all routers, and the read would have been rejected for half an hour.
test('a sound request that an earlier build has quarantined in the store is served after a trial', async (t) => {
  const simulation = await GatewaySimulation.create(91);
  const fingerprint = fingerprintOf({
    tenant: 'tenant-2',
    host: 'host.example',
    method: 'POST',
    path: '/plain/plain-safe/x',
    body: RequestBody.of(Buffer.from('sound')),
  });
  simulation.store.put(KINDS.quarantine, fingerprint, {
    ...{ tenant: 'tenant-2', route: 'plain-safe', path: '/plain/plain-safe/x' },
    ...{ subject: CrashSubject.Request, engines: ENGINES },
    quarantinedAtMs: simulation.clock.wallNow(),
  });
  await simulation.clock.advance(LISTED_MS);
  const first = simulation.requests.length;
  for (let read = 0; read < READS; read += 1) {
    simulation.request(read, 'plain-safe', 'tenant-2', 0, 'sound');
    await simulation.clock.advance(READ_INTERVAL_MS);
  }
  const replies = simulation.requests.slice(first).map(({ reply }) => reply);
  t.true(replies.some(({ own }) => own?.reason === 'awaits-trial'));
  t.is(replies.filter(({ own }) => own?.status === 422).length, 0);
  t.is(replies.at(-1)?.status, HttpStatus.Ok);
  await simulation.clock.advance(LISTED_MS);
  t.deepEqual(simulation.store.all(KINDS.quarantine), []);
});
