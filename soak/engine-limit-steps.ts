/** Steps of a soak in which engines take a limited number of requests a second from all routers together. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Maker } from './schedule.js';

const LIMITS_PER_SECOND = [0.5, 1.2, 4] as const;
const MOST_ENGINES = 5;

/** The steps. */
export const ENGINE_LIMIT_MAKERS: readonly Maker[] = [
  (random) => {
    const perSecond = randomElement(random, LIMITS_PER_SECOND) ?? 1.2;
    const forMs = 5_000 + randomInteger(random, 6_000);
    const engines = 1 + randomInteger(random, MOST_ENGINES);
    return {
      name: `${engines} engines take ${perSecond} requests a second for ${forMs} ms`,
      run: ({ fleet }) => {
        for (const engine of fleet.running.slice(0, engines)) {
          fleet.limit(engine, perSecond);
          setTimeout(() => fleet.limit(engine, undefined), forMs);
        }
      },
    };
  },
];
