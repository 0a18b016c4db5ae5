/**
 * Guards against streams that are joined from two builds at routers that are out of step while engines of
 * a new build join: cut off, alone or together, from the other routers, the store or both, or standing
 * still. Streams begin at the new build through another router, break, and are taken up there.
 */
import test, { type ExecutionContext } from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { ReturningCallers } from '../../src/lab/gateway-simulation/returning-callers.js';
import {
  GENERATION_SERVICE,
  bodyWithParts,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const SEEDS = [1, 2, 3];
/** Keeps the proof of keys valid at routers that are cut off, so that they serve. */
const MUTATION = { settings: { proofLifetimeMs: 60_000 }, keepsRequestsOfPaused: true };
const RECORDED_MS = 3_000;
const CUT_MS = 30_000;
const STREAMS = 120;
const RETURN_MS = 100;
const RETURNS = 20;
const DOWN_MS = 1_000;
/** Times between the fault and the new engines, and from these until the first stream. */
const PHASES = [
  { beforeMs: 500, settlingMs: 5_000 },
  { beforeMs: 0, settlingMs: 2_500 },
  { beforeMs: 100, settlingMs: 1_000 },
];
/** Time for which requests wait in the socket of a router that stands still. */
const WAITED_MS = 50;
/** Times between the new engines, which come as routers begin to stand still, and the first stream. */
const STILL_MS = [2_000, 5_500];

type Phase = (typeof PHASES)[number];

interface OutOfStep {
  readonly title: string;
  readonly begin: (simulation: GatewaySimulation) => void;
}

const CUTS: readonly OutOfStep[] = [
  { title: 'one router is cut off', begin: (simulation) => simulation.isolateRouter(1, CUT_MS) },
  {
    title: 'two routers are cut off together',
    begin: (simulation) => {
      simulation.partitionRouters([1, 2], CUT_MS);
      for (const router of [1, 2]) simulation.cutFromStore(router, CUT_MS);
    },
  },
  {
    title: 'one of two routers that are cut off together can read the store',
    begin: (simulation) => {
      simulation.partitionRouters([1, 2], CUT_MS);
      simulation.cutFromStore(1, CUT_MS);
    },
  },
  {
    title: 'two routers are cut off from the third only',
    begin: (simulation) => simulation.partitionRouters([1, 2], CUT_MS),
  },
  {
    title: 'one router is cut off from the others only',
    begin: (simulation) => simulation.partitionRouters([1], CUT_MS),
  },
  {
    title: 'one router is cut off from the store only',
    begin: (simulation) => simulation.cutFromStore(1, CUT_MS),
  },
  {
    title: 'two routers are cut off from the store only',
    begin: (simulation) => {
      for (const router of [1, 2]) simulation.cutFromStore(router, CUT_MS);
    },
  },
];

function addSecondBuild({ fleet }: GatewaySimulation): void {
  fleet.build = 'build-2';
  for (let count = 0; count < 3; count += 1) fleet.add(GENERATION_SERVICE);
}

/** Streams that begin through the router that is in step, at engines of both builds. */
async function sendStreams(simulation: GatewaySimulation): Promise<void> {
  for (let count = 0; count < STREAMS; count += 1) {
    const body = bodyWithParts([`part-${count}`], `text-${count}`);
    simulation.request(0, 'stream-resumable', 'tenant-2', 0, body);
    await simulation.clock.advance(1);
  }
}

/** Callers return to the next router, which is the first one out of step, and to the others in turn. */
async function takeUp(simulation: GatewaySimulation, callers: ReturningCallers): Promise<void> {
  for (let step = 0; step < RETURNS; step += 1) {
    callers.takeUpBroken();
    await simulation.clock.advance(RETURN_MS);
  }
}

async function playCut(
  seed: number,
  { begin }: OutOfStep,
  { beforeMs, settlingMs }: Phase,
): Promise<{ simulation: GatewaySimulation; callers: ReturningCallers }> {
  const simulation = await GatewaySimulation.create(seed, MUTATION);
  const callers = new ReturningCallers(simulation);
  await simulation.clock.advance(RECORDED_MS);
  begin(simulation);
  await simulation.clock.advance(beforeMs);
  addSecondBuild(simulation);
  await simulation.clock.advance(settlingMs);
  await sendStreams(simulation);
  simulation.killRouter(0, DOWN_MS);
  await takeUp(simulation, callers);
  await simulation.settle();
  return { simulation, callers };
}

function cut(outOfStep: OutOfStep): (t: ExecutionContext) => Promise<void> {
  return async (t) => {
    for (const phase of PHASES) {
      for (const seed of SEEDS) {
        const { simulation, callers } = await playCut(seed, outOfStep, phase);
        const { streams, continuedStreams } = callers.outcomes;
        const joined = findBreaches(simulation).length;
        const play = `seed ${seed}, streams ${phase.beforeMs} + ${phase.settlingMs} ms after the cut`;
        t.log(`${play}: ${joined} joined, ${continuedStreams} of ${streams} go on`);
        t.deepEqual(findBreaches(simulation), [], play);
        t.true(streams >= 5, `${play}: ${streams}`);
      }
    }
  };
}

for (const outOfStep of CUTS)
  test(`no stream is joined from two builds while ${outOfStep.title}`, cut(outOfStep));

interface StandingStill {
  readonly routers: readonly number[];
  readonly by: 'freezeRouter' | 'suspendRouter';
  /** Whether the router that began the streams lives on, and only its callers' connections are reset. */
  readonly isBeginnerAlive: boolean;
}

async function playStandingStill(
  seed: number,
  { routers, by, isBeginnerAlive }: StandingStill,
  settlingMs: number,
): Promise<{ simulation: GatewaySimulation; callers: ReturningCallers }> {
  const simulation = await GatewaySimulation.create(seed, MUTATION);
  const callers = new ReturningCallers(simulation);
  await simulation.clock.advance(RECORDED_MS);
  for (const router of routers) simulation[by](router, settlingMs + STREAMS + WAITED_MS);
  addSecondBuild(simulation);
  await simulation.clock.advance(settlingMs);
  await sendStreams(simulation);
  if (isBeginnerAlive) simulation.resetCallers(0);
  else simulation.killRouter(0, DOWN_MS);
  callers.takeUpBroken();
  await simulation.clock.advance(WAITED_MS);
  await takeUp(simulation, callers);
  await simulation.settle();
  return { simulation, callers };
}

const STANDING_STILL: readonly StandingStill[] = (
  ['freezeRouter', 'suspendRouter'] as const
).flatMap((by) =>
  [[1], [1, 2]].flatMap((routers) =>
    [true, false].map((isBeginnerAlive) => ({ by, routers, isBeginnerAlive })),
  ),
);

for (const play of STANDING_STILL) {
  const title = `${play.by} ${play.routers.join(' and ')}, router 0 ${play.isBeginnerAlive ? 'lives' : 'is killed'}`;
  test(`no stream is joined from two builds at routers that have stood still: ${title}`, async (t) => {
    for (const settlingMs of STILL_MS) {
      for (const seed of SEEDS) {
        const { simulation, callers } = await playStandingStill(seed, play, settlingMs);
        const { streams, continuedStreams, attempts, continued } = callers.outcomes;
        const joined = findBreaches(simulation).filter(({ rule }) => rule === 'one-build').length;
        const name = `seed ${seed}, ${settlingMs} ms`;
        t.log(
          `${name}: ${joined} joined, ${continuedStreams} of ${streams} go on, ${attempts - continued} of ${attempts} attempts rejected`,
        );
        t.is(joined, 0, name);
        t.true(streams >= 5, `${name}: ${streams}`);
      }
    }
  });
}

// A router that wakes hears from holders where a stream began before it reads the list of engines.
test('streams that wait at a router that stands still go on when it wakes', async (t) => {
  for (const by of ['freezeRouter', 'suspendRouter'] as const) {
    for (const isBeginnerAlive of [true, false]) {
      for (const seed of SEEDS) {
        const standing = { routers: [1], by, isBeginnerAlive };
        const { callers } = await playStandingStill(seed, standing, 2_000);
        const { attempts, continued } = callers.outcomes;
        t.true(attempts >= 5, `seed ${seed}: ${attempts}`);
        t.is(continued, attempts, `seed ${seed}: ${attempts - continued} rejected`);
      }
    }
  }
});
