/** Steps of a soak in which the store is restored from an older copy of itself. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { StepFactory } from './schedule.js';

const MAXIMUM_OUTAGE_MS = 4_000;
const LOST_WRITES_MS = [0, 500, 2_000, 5_000] as const;

export const STORE_RESTORATION_STEPS: readonly StepFactory[] = [
  (random) => {
    const outageMs = randomInteger(random, MAXIMUM_OUTAGE_MS);
    const lostMs = randomElement(random, LOST_WRITES_MS) ?? 0;
    return {
      name: `store unavailable for ${outageMs} ms, restored without the last ${lostMs} ms`,
      run: (deployment) => deployment.restoreStore(outageMs, lostMs),
    };
  },
  (random) => {
    const outageMs = randomInteger(random, MAXIMUM_OUTAGE_MS);
    return {
      name: `store loses a key removal, new weights and a drain, unavailable for ${outageMs} ms`,
      run: async (deployment) => {
        await writeCriticalChanges(deployment);
        deployment.restoreStore(outageMs, LOST_WRITES_MS[1]);
      },
    };
  },
  (random) => {
    const changes = 1 + randomInteger(random, 6);
    return {
      name: `store restored, ${changes} changes right after`,
      run: async (deployment) => {
        const OUTAGE_MS = 300;
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-1b');
        deployment.restoreStore(OUTAGE_MS, LOST_WRITES_MS[1]);
        await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS + 50));
        await writeCriticalChanges(deployment);
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-2b');
      },
    };
  },
  (random) => {
    const MAXIMUM_EXTRA_CHANGES = 30;
    const changes = 10 + randomInteger(random, MAXIMUM_EXTRA_CHANGES);
    return {
      name: `store loses ${changes} changes`,
      run: async (deployment) => {
        const OUTAGE_MS = 300;
        for (let change = 0; change < changes; change += 1) await deployment.toggleKey('key-1b');
        deployment.restoreStore(OUTAGE_MS, LOST_WRITES_MS[2]);
      },
    };
  },
];

/** Changes a key, the weights and an engine: changes that routers must not miss. */
async function writeCriticalChanges(deployment: Deployment): Promise<void> {
  await deployment.toggleKey('key-1b');
  await deployment.publishWeights();
  const [engine] = deployment.fleet.running;
  if (engine) void deployment.fleet.replace(engine);
}
