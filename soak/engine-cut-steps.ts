/** Steps of a soak in which routers are cut off from all engines. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { RandomSource } from '../src/runtime/random.js';
import { EngineCutMode } from './engine-cuts.js';
import type { StepFactory } from './schedule.js';

const MINIMUM_CUT_MS = 1_000;
const MAXIMUM_CUT_MS = 11_000;
const SECOND_CUT_DELAY_MS = 2_500;

function drawMode(random: RandomSource): EngineCutMode {
  return randomElement(random, Object.values(EngineCutMode)) ?? EngineCutMode.Silent;
}

function drawDuration(random: RandomSource): number {
  return MINIMUM_CUT_MS + randomInteger(random, MAXIMUM_CUT_MS - MINIMUM_CUT_MS);
}

/** Cuts off a number of routers from a random first one on, but not all of them. */
const cutRouters: StepFactory = (random, routers) => {
  const mode = drawMode(random);
  const forMs = drawDuration(random);
  const count = 1 + randomInteger(random, Math.max(1, routers - 1));
  const first = randomInteger(random, routers);
  return {
    name: `${count} routers from router-${first} on cut off from engines (${mode}) for ${forMs} ms`,
    run: ({ routers: all }) => {
      for (let offset = 0; offset < count; offset += 1)
        all[(first + offset) % all.length]?.cutFromEngines(mode, forMs);
    },
  };
};

export const ENGINE_CUT_STEPS: readonly StepFactory[] = [
  cutRouters,
  cutRouters,
  (random, routers) => {
    const index = randomInteger(random, routers);
    const modes = [drawMode(random), drawMode(random)];
    const forMs = drawDuration(random);
    return {
      name: `router-${index} cut off from engines twice (${modes.join(', ')}) for ${forMs} ms`,
      run: ({ routers: all }) => {
        for (const [turn, mode] of modes.entries()) {
          setTimeout(
            () => all[index]?.cutFromEngines(mode, forMs),
            turn * (forMs + SECOND_CUT_DELAY_MS),
          );
        }
      },
    };
  },
  (random) => {
    const forMs = drawDuration(random) / 2;
    return {
      name: `all routers cut off from engines for ${forMs} ms`,
      run: ({ routers: all }) => {
        for (const router of all) router.cutFromEngines(EngineCutMode.Silent, forMs);
      },
    };
  },
];
