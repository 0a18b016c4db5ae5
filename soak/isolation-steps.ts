/** Steps of a soak in which configurations isolate tenants and let them share cached prompts again. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { StepFactory } from './schedule.js';

const TENANTS = ['tenant-1', 'tenant-2'] as const;
const MAXIMUM_CHANGES = 4;
const GAPS_MS = [50, 800, 3_000, 7_000] as const;

export const ISOLATION_STEPS: readonly StepFactory[] = [
  (random) => {
    const tenant = randomElement(random, TENANTS) ?? TENANTS[0];
    const isIsolated = random.next() < 0.5;
    return {
      name: `${tenant} is ${isIsolated ? 'isolated' : 'not isolated'}`,
      run: (deployment) => deployment.isolateTenant(tenant, isIsolated),
    };
  },
  (random) => {
    const tenant = randomElement(random, TENANTS) ?? TENANTS[0];
    const changes = 2 + randomInteger(random, MAXIMUM_CHANGES - 1);
    const gapMs = randomElement(random, GAPS_MS) ?? GAPS_MS[0];
    return {
      name: `${tenant} is isolated and shares again, ${changes} changes, every ${gapMs} ms`,
      run: async (deployment) => {
        for (let change = 0; change < changes; change += 1) {
          await deployment.isolateTenant(tenant, change % 2 === 0);
          await new Promise((resolve) => setTimeout(resolve, gapMs));
        }
      },
    };
  },
];
