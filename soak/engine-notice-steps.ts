/** Steps of a soak on notices in engine responses: drains in store outages, and retry delays. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { StepFactory } from './schedule.js';

const STORE_CONDITIONS = ['silent', 'busy'] as const;
/** The longer ones exceed the slack of the oracle, so that it can check them. */
const BACKOFFS_MS = [1_000, 5_000, 8_000] as const;

export const ENGINE_NOTICE_STEPS: readonly StepFactory[] = [
  (random) => {
    const condition = randomElement(random, STORE_CONDITIONS) ?? 'silent';
    const forMs = 5_000 + randomInteger(random, 6_000);
    return {
      name: `store ${condition} for ${forMs} ms while an engine drains`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        deployment.disruptStore(condition, forMs);
        return engine && deployment.fleet.replace(engine);
      },
    };
  },
  (random) => {
    const backoffMs = randomElement(random, BACKOFFS_MS) ?? 1_000;
    const forMs = 1_000 + randomInteger(random, 5_000);
    const engines = 1 + randomInteger(random, 3);
    return {
      name: `${engines} engines reject for ${forMs} ms with a retry delay of ${backoffMs} ms`,
      run: ({ fleet }) => {
        for (const engine of fleet.running.slice(0, engines)) {
          fleet.setBackoff(engine, backoffMs);
          setTimeout(() => fleet.setBackoff(engine, 0), forMs);
        }
      },
    };
  },
];
