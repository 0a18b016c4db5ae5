/** How long engines that refuse without asking for a pause are left alone. */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';

const ENGINE = 'engine-1';

/** Moments at which an engine that refuses every trial is tried, when there is always a request for it. */
function trialsMs(health: EngineHealth, untilMs: number): number[] {
  const trials: number[] = [];
  for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
    if (health.isAvoided(ENGINE, nowMs)) continue;
    trials.push(nowMs);
    health.noteBusy(ENGINE, nowMs);
  }
  return trials;
}

test('an engine that refuses every request is tried ever more seldom, up to a limit', (t) => {
  t.deepEqual(
    trialsMs(new EngineHealth(), 10_000),
    [0, 150, 450, 1_050, 2_250, 4_650, 7_050, 9_450],
  );
});

test('refusals of requests that were on their way count once', (t) => {
  const health = new EngineHealth();
  for (let atMs = 0; atMs < 100; atMs += 10) health.noteBusy(ENGINE, atMs);
  t.true(health.isAvoided(ENGINE, 149));
  t.false(health.isAvoided(ENGINE, 150));
});

test('only a request that was sent after the refusal shows that the engine takes work again', (t) => {
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
const REFUSING_MS = 8_000;
const REFUSING_ENGINES = [0, 3];
/** Trials of one router at one engine in that time, and one request that was on its way at each of the first. */
const MOST_TRIALS = 10;

test('engines that refuse everything for a while cost callers few refusals', async (t) => {
  for (const seed of [1, 2, 3]) {
    const world = await GatewaySimulation.create(seed);
    const refusing = REFUSING_ENGINES.map((index) => world.engine(index));
    for (const engine of refusing) engine.mode = EngineMode.Busy;
    for (let spentMs = 0; spentMs < REFUSING_MS; spentMs += STEP_MS) {
      const turn = spentMs / STEP_MS;
      world.request(turn, turn % 2 === 0 ? 'plain-unsafe' : 'stream-once', 'tenant-2', 0);
      await world.clock.advance(STEP_MS);
    }
    for (const engine of refusing) engine.mode = EngineMode.Sound;
    await world.settle();
    const ids = new Set(refusing.map(({ id }) => id));
    const refused = world.observations.arrivals.filter(({ engineId }) => ids.has(engineId));
    t.log(refused.length);
    t.true(refused.length <= MOST_TRIALS * world.routerCount * refusing.length);
    t.deepEqual(findBreaches(world), []);
  }
});
