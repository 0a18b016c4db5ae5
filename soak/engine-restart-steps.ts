/** Steps of a soak that restart engines under their names or write malformed entries. */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import type { Engine, RestartPlan } from './engine-fleet.js';
import { drawMalformedEntry } from './malformed-entries.js';
import type { StepFactory } from './schedule.js';
import { Service } from './wire.js';

const DOWNTIMES_MS = [0, 100, 800, 2_500] as const;
const UNREACHABLE_TIMES_MS = [0, 0, 700, 3_000] as const;
/** Time after which the engines have loaded newly published weights. */
const WEIGHTS_LOADED_MS = 6_500;
/** Time until the heartbeat that rewrites an overwritten entry. */
const OVERWRITTEN_ENTRY_MS = 1_500;

function drawRestart(random: RandomSource): RestartPlan {
  return {
    downtimeMs: randomElement(random, DOWNTIMES_MS) ?? 0,
    unreachableMs: randomElement(random, UNREACHABLE_TIMES_MS) ?? 0,
    revertsWeights: random.next() < 0.5,
  };
}

function generationEngines(engines: readonly Engine[]): Engine[] {
  return engines.filter(({ service }) => service === Service.generation);
}

export const ENGINE_RESTART_STEPS: readonly StepFactory[] = [
  (random) => {
    const restart = drawRestart(random);
    return {
      name: `an engine restarts, down ${restart.downtimeMs} ms, unreachable ${restart.unreachableMs} ms`,
      run: ({ fleet }) => {
        const engine = randomElement(random, fleet.running);
        if (engine) fleet.restart(engine, restart);
      },
    };
  },
  (random) => {
    const times = 2 + randomInteger(random, 3);
    const restart = drawRestart(random);
    const gapMs = 300 + randomInteger(random, 1_500);
    return {
      name: `an engine restarts ${times} times, every ${gapMs} ms`,
      run: async ({ fleet }) => {
        const engine = randomElement(random, fleet.running);
        if (!engine) return;
        for (let count = 0; count < times; count += 1) {
          fleet.restart(engine, restart);
          await new Promise((resolve) => setTimeout(resolve, gapMs));
        }
      },
    };
  },
  (random) => {
    const restart = drawRestart(random);
    const afterMs = random.next() < 0.5 ? randomInteger(random, 2_500) : WEIGHTS_LOADED_MS;
    return {
      name: `weights are published, and an engine restarts ${afterMs} ms later`,
      run: async (deployment) => {
        await deployment.publishWeights();
        await new Promise((resolve) => setTimeout(resolve, afterMs));
        const engine = randomElement(random, generationEngines(deployment.fleet.running));
        if (engine) deployment.fleet.restart(engine, restart);
      },
    };
  },
  (random) => ({
    name: 'a foreign writer adds a malformed entry',
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      if (!engine) return;
      return deployment.writeMalformedEntry(drawMalformedEntry(random, engine.proxy.address));
    },
  }),
  (random) => ({
    name: "a foreign writer overwrites an engine's entry",
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      if (!engine) return;
      deployment.fleet.recordFault(OVERWRITTEN_ENTRY_MS);
      return deployment.writeMalformedEntry(
        drawMalformedEntry(random, engine.proxy.address),
        engine.name,
      );
    },
  }),
];
