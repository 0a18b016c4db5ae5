/** Steps of a soak in which all plain engines crash at once while a read is in progress at each of them. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { StepFactory } from './schedule.js';
import { Service } from './wire.js';

/** A request is quarantined after three crashes, so that fewer engines would show nothing. */
export const PLAIN_ENGINES_THAT_CRASH = 4;
/** Callers that send the same read. */
const READERS = 12;
const READ_GAP_MS = 5;
const READS = 400;
/** Time in which the read comes to be in progress at each engine. */
const READ_BEFORE_MS = 600;
const MAXIMUM_CRASHES = 3;
const MINIMUM_GAP_MS = 1_500;
const MAXIMUM_GAP_MS = 5_000;
const APART_MS = [0, 0, 30, 160] as const;
const POPULAR_READS = 3;

async function crashAll({ fleet }: Deployment, apartMs: number): Promise<void> {
  const engines = fleet.running.filter(({ service }) => service === Service.plain);
  for (const engine of engines) {
    void fleet.crash(engine);
    if (apartMs > 0) await pause(apartMs);
  }
}

const crashTogether: StepFactory = (random) => {
  const body = `popular-read-${randomInteger(random, POPULAR_READS)}`;
  const crashes = 1 + randomInteger(random, MAXIMUM_CRASHES);
  const gapMs = MINIMUM_GAP_MS + randomInteger(random, MAXIMUM_GAP_MS - MINIMUM_GAP_MS);
  const apartMs = randomElement(random, APART_MS) ?? 0;
  return {
    name: `plain engines crash ${apartMs} ms apart during ${body}, ${crashes} times, every ${gapMs} ms`,
    run: async (deployment, resend) => {
      const readers = Array.from({ length: READERS }, () =>
        resend({ kind: 'plain-safe', body }, READS, READ_GAP_MS),
      );
      for (let crash = 0; crash < crashes; crash += 1) {
        await pause(crash === 0 ? READ_BEFORE_MS : gapMs);
        await crashAll(deployment, apartMs);
      }
      await Promise.all(readers);
    },
  };
};

/** Repeated, so that it is drawn more often than a step of the common ones. */
export const JOINT_CRASH_STEPS: readonly StepFactory[] = [
  crashTogether,
  crashTogether,
  crashTogether,
];

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
