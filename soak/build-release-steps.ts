/**
 * Steps of a soak in which a second build of engines comes while the store is faulty, streams begin, all
 * routers are killed, and one of the builds leaves before they serve again.
 */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import { FIRST_BUILD, SECOND_BUILD } from './engine-fleet.js';
import type { Resender, Step, StepFactory } from './schedule.js';
import { Service } from './wire.js';

/** Time of the first release; the record of builds is written by then. */
export const FIRST_RELEASE_MS = 2_500;
/** Time that a release takes, until its streams have been taken up. */
export const RELEASE_SPAN_MS = 8_000;
/** Callers whose streams run when the routers are killed. */
const STREAM_CALLERS = 16;
/** More, or more callers, overload a busy machine, and the recovery rule is broken. */
const STREAMS_EACH = 12;
const STREAM_GAP_MS = 20;
const TAKE_UPS = 60;
const ENGINES = 3;
const MAXIMUM_REFUSAL_MS = 5_000;
/** Times between the release and the kill; the shorter ones are within a comparison with the record. */
const SETTLING_MS = [50, 150, 400, 1_200, 2_500] as const;
/** The entries of engines that were killed expire within the longer time. */
const DOWN_MS = [300, 5_000, 5_000] as const;

/** The first draws of consecutive seeds are alike: without this, 20 seeds drew the same fault. */
const SKIPPED_DRAWS = 16;

/** Faults of the store when a build comes. */
const STORE_FAULTS = ['refuses', 'refuses', 'refuses', 'loses answers', 'delays', 'none'] as const;
type StoreFault = (typeof STORE_FAULTS)[number];

const release: StepFactory = (random) => {
  const fault = randomElement(random, STORE_FAULTS) ?? 'refuses';
  const refusalMs = 500 + randomInteger(random, MAXIMUM_REFUSAL_MS);
  const settlingMs = randomElement(random, SETTLING_MS) ?? SETTLING_MS[0];
  const downMs = randomElement(random, DOWN_MS) ?? DOWN_MS[0];
  const isRolledBack = random.next() < 0.8;
  const lostMs = random.next() < 0.25 ? 1_000 + randomInteger(random, 3_000) : undefined;
  const end = isRolledBack ? 'rolled back' : 'rolled out';
  return {
    name:
      `second build, store ${fault} (${refusalMs} ms), all routers killed after ${settlingMs} ms ` +
      `for ${downMs} ms, ${end}, store restored without ${lostMs ?? 'no'} ms`,
    run: async (deployment, resend) => {
      spoilStore(deployment, fault, refusalMs);
      startStreams(resend);
      await addBuild(deployment);
      await pause(settlingMs);
      for (const router of deployment.routers) router.kill(downMs);
      await endBuild(deployment, isRolledBack ? SECOND_BUILD : FIRST_BUILD);
      if (lostMs !== undefined) deployment.restoreStore(downMs / 2, lostMs);
    },
  };
};

/** The first step of a soak: a build counts for a minute, so that later steps judge by several builds. */
export function drawFirstRelease(random: RandomSource, routers: number): Step {
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.next();
  return { atMs: FIRST_RELEASE_MS, ...release(random, routers) };
}

const refuseWrites: StepFactory = (random) => {
  const forMs = 300 + randomInteger(random, MAXIMUM_REFUSAL_MS);
  return {
    name: `store refuses the writes of routers for ${forMs} ms`,
    run: (deployment) => deployment.refuseWrites(forMs),
  };
};

export const BUILD_RELEASE_STEPS: readonly StepFactory[] = [release, refuseWrites, refuseWrites];

function spoilStore(deployment: Deployment, fault: StoreFault, refusalMs: number): void {
  if (fault === 'refuses') deployment.refuseWrites(refusalMs);
  if (fault === 'loses answers')
    deployment.sendToStore({
      kind: 'write-faults',
      faults: ['answer-lost', 'answer-lost', 'answer-lost'],
    });
  if (fault === 'delays')
    deployment.sendToStore({ kind: 'write-faults', faults: ['late', 'late', 'late', 'late'] });
}

function startStreams(resend: Resender): void {
  for (let caller = 0; caller < STREAM_CALLERS; caller += 1)
    void resend({ kind: 'stream-resumable' }, STREAMS_EACH, STREAM_GAP_MS, TAKE_UPS);
}

async function addBuild({ fleet }: Deployment): Promise<void> {
  fleet.releasedBuild = SECOND_BUILD;
  const added = Array.from({ length: ENGINES }, () => fleet.add(Service.generation));
  await Promise.all(added);
}

/** Replaces all engines of a build by those of the other one. */
async function endBuild({ fleet }: Deployment, build: string): Promise<void> {
  fleet.releasedBuild = build === SECOND_BUILD ? FIRST_BUILD : SECOND_BUILD;
  const leaving = fleet.running.filter(
    (engine) => engine.build === build && engine.service === Service.generation,
  );
  await Promise.all(leaving.map((engine) => fleet.crash(engine)));
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
