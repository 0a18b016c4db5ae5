/** Steps of a soak in which the store comes back from an older copy of itself. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { Maker } from './schedule.js';

const LONGEST_AWAY_MS = 4_000;
const LOST_MS = [0, 500, 2_000, 5_000] as const;

/** The steps. */
export const STORE_RESTORATION_MAKERS: readonly Maker[] = [
  (random) => {
    const awayMs = randomInteger(random, LONGEST_AWAY_MS);
    const lostMs = randomElement(random, LOST_MS) ?? 0;
    return {
      name: `store away for ${awayMs} ms, back without the last ${lostMs} ms`,
      run: (deployment) => deployment.restoreStore(awayMs, lostMs),
    };
  },
  (random) => {
    const awayMs = randomInteger(random, LONGEST_AWAY_MS);
    return {
      name: `store loses a key's removal, new weights and a leaving engine, away for ${awayMs} ms`,
      run: async (deployment) => {
        await changeMuch(deployment);
        deployment.restoreStore(awayMs, LOST_MS[1]);
      },
    };
  },
  (random) => {
    const changes = 1 + randomInteger(random, 6);
    return {
      name: `store restored, ${changes} changes just after`,
      run: async (deployment) => {
        const AWAY_MS = 300;
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-1b');
        deployment.restoreStore(AWAY_MS, LOST_MS[1]);
        await new Promise((resolve) => setTimeout(resolve, AWAY_MS + 50));
        await changeMuch(deployment);
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-2b');
      },
    };
  },
  (random) => {
    const MOST_CHANGES = 30;
    const changes = 10 + randomInteger(random, MOST_CHANGES);
    return {
      name: `store loses ${changes} changes`,
      run: async (deployment) => {
        const AWAY_MS = 300;
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-1b');
        deployment.restoreStore(AWAY_MS, LOST_MS[2]);
      },
    };
  },
];

/** Writes what routers must not miss. */
async function changeMuch(deployment: Deployment): Promise<void> {
  await deployment.toggleKey('key-1b');
  await deployment.nameWeights();
  const [engine] = deployment.fleet.running;
  if (engine) void deployment.fleet.replace(engine);
}
