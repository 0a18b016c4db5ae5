/** Guards against frequent requests to engines that reject everything without a pause. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';

const ENGINE = 'engine-1';

/** Times of the attempts at an engine that rejects each one, if a request is always waiting. */
function attemptTimesMs(health: EngineHealth, untilMs: number): number[] {
  const attemptTimes: number[] = [];
  for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
    if (health.isAvoided(ENGINE, nowMs)) continue;
    attemptTimes.push(nowMs);
    health.noteBusy(ENGINE, nowMs);
  }
  return attemptTimes;
}

test('the backoff of an engine that rejects every request grows up to a maximum', (t) => {
  t.deepEqual(
    attemptTimesMs(new EngineHealth(), 10_000),
    [0, 150, 450, 1_050, 2_250, 4_650, 7_050, 9_450],
  );
});

test('rejections of concurrent requests extend the backoff once', (t) => {
  const health = new EngineHealth();
  for (let atMs = 0; atMs < 100; atMs += 10) health.noteBusy(ENGINE, atMs);
  t.true(health.isAvoided(ENGINE, 149));
  t.false(health.isAvoided(ENGINE, 150));
});

test('only the success of a request sent after the rejection resets the backoff', (t) => {
  const health = new EngineHealth();
  health.noteBusy(ENGINE, 1_000);
  health.noteSuccess(ENGINE, 900);
  t.true(health.isAvoided(ENGINE, 1_100));
  health.noteBusy(ENGINE, 1_150);
  t.true(health.isAvoided(ENGINE, 1_400));
  health.noteSuccess(ENGINE, 1_160);
  t.false(health.isAvoided(ENGINE, 1_400));
  health.noteBusy(ENGINE, 2_000);
  t.false(health.isAvoided(ENGINE, 2_150));
});

const STEP_MS = 10;
const REJECTING_MS = 8_000;
const REJECTING_ENGINES = [0, 3];
/** Attempts of one router at one engine in that time, including concurrent ones. */
const MAXIMUM_ATTEMPTS = 10;

test('engines that temporarily reject everything cause few rejections', async (t) => {
  for (const seed of [1, 2, 3]) {
    const simulation = await GatewaySimulation.create(seed);
    const rejecting = REJECTING_ENGINES.map((index) => simulation.engine(index));
    for (const engine of rejecting) engine.mode = EngineMode.Busy;
    for (let elapsedMs = 0; elapsedMs < REJECTING_MS; elapsedMs += STEP_MS) {
      const step = elapsedMs / STEP_MS;
      simulation.request(step, step % 2 === 0 ? 'plain-unsafe' : 'stream-once', 'tenant-2', 0);
      await simulation.clock.advance(STEP_MS);
    }
    for (const engine of rejecting) engine.mode = EngineMode.Healthy;
    await simulation.settle();
    const ids = new Set(rejecting.map(({ id }) => id));
    const rejected = simulation.observations.arrivals.filter(({ engineId }) => ids.has(engineId));
    t.log(rejected.length);
    t.true(rejected.length <= MAXIMUM_ATTEMPTS * simulation.routerCount * rejecting.length);
    t.deepEqual(findBreaches(simulation), []);
  }
});
