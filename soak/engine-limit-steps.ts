/** Steps of a soak in which engines limit the requests per second from all routers together. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { StepFactory } from './schedule.js';

const LIMITS_PER_SECOND = [0.5, 1.2, 4] as const;
const MAXIMUM_ENGINES = 5;

export const ENGINE_LIMIT_STEPS: readonly StepFactory[] = [
  (random) => {
    const perSecond = randomElement(random, LIMITS_PER_SECOND) ?? 1.2;
    const forMs = 5_000 + randomInteger(random, 6_000);
    const engines = 1 + randomInteger(random, MAXIMUM_ENGINES);
    return {
      name: `${engines} engines accept ${perSecond} requests per second for ${forMs} ms`,
      run: ({ fleet }) => {
        for (const engine of fleet.running.slice(0, engines)) {
          fleet.setRateLimit(engine, perSecond);
          setTimeout(() => fleet.setRateLimit(engine, undefined), forMs);
        }
      },
    };
  },
];
