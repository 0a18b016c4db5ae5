/** Steps of a soak on what engines say of themselves: engines that leave unheard, and that ask for pauses. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Maker } from './schedule.js';

const STORE_CONDITIONS = ['silent', 'busy'] as const;
/** Long enough for the oracle to judge their end, with its slack for a busy machine. */
const PAUSES_MS = [1_000, 5_000, 8_000] as const;

/** The steps. */
export const ENGINE_NOTICE_MAKERS: readonly Maker[] = [
  (random) => {
    const condition = randomElement(random, STORE_CONDITIONS) ?? 'silent';
    const forMs = 5_000 + randomInteger(random, 6_000);
    return {
      name: `store ${condition} for ${forMs} ms, and an engine leaves meanwhile`,
      run: (deployment) => {
        const engine = randomElement(random, deployment.fleet.running);
        deployment.troubleStore(condition, forMs);
        return engine && deployment.fleet.replace(engine);
      },
    };
  },
  (random) => {
    const backoffMs = randomElement(random, PAUSES_MS) ?? 1_000;
    const forMs = 1_000 + randomInteger(random, 5_000);
    const engines = 1 + randomInteger(random, 3);
    return {
      name: `${engines} engines refuse for ${forMs} ms and ask for ${backoffMs} ms`,
      run: ({ fleet }) => {
        for (const engine of fleet.running.slice(0, engines)) {
          fleet.askPause(engine, backoffMs);
          setTimeout(() => fleet.askPause(engine, 0), forMs);
        }
      },
    };
  },
];
