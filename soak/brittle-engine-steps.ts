/** Steps of a soak in which the engines of a service fail when they reject too many requests. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { StepFactory } from './schedule.js';

const TOLERANCES = [1, 2, 4] as const;
const MINIMUM_PERIOD_MS = 9_000;
const MAXIMUM_PERIOD_MS = 13_000;

export const BRITTLE_ENGINE_STEPS: readonly StepFactory[] = [
  (random) => {
    const tolerance = randomElement(random, TOLERANCES) ?? 2;
    const forMs = MINIMUM_PERIOD_MS + randomInteger(random, MAXIMUM_PERIOD_MS - MINIMUM_PERIOD_MS);
    return {
      name: `plain engines fail above ${tolerance} rejections per second for ${forMs} ms`,
      run: ({ fleet }) => fleet.makePlainEnginesBrittle(tolerance, forMs),
    };
  },
];
