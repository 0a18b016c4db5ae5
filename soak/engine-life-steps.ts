/** Steps of a soak on the lives of engines: restarts under one name, and entries of other writers. */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import type { Engine, Restart } from './engine-fleet.js';
import { makeOddEntry } from './odd-entries.js';
import type { Maker } from './schedule.js';
import { Service } from './wire.js';

const DOWN_MS = [0, 100, 800, 2_500] as const;
const CUT_MS = [0, 0, 700, 3_000] as const;
/** By then the engines have loaded what was named: a rollout begins some seconds before its bound of eight. */
const LOADED_MS = 6_500;
/** Until its next heartbeat an engine whose entry was overwritten may be left out. */
const OVERWRITTEN_MS = 1_500;

function drawRestart(random: RandomSource): Restart {
  return {
    downMs: randomElement(random, DOWN_MS) ?? 0,
    cutMs: randomElement(random, CUT_MS) ?? 0,
    losesLoad: random.next() < 0.5,
  };
}

function generationEngines(engines: readonly Engine[]): Engine[] {
  return engines.filter(({ service }) => service === Service.generation);
}

/** The steps. */
export const ENGINE_LIFE_MAKERS: readonly Maker[] = [
  (random) => {
    const restart = drawRestart(random);
    return {
      name: `an engine restarts, down ${restart.downMs} ms, cut ${restart.cutMs} ms`,
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
      name: `an engine restarts ${times} times, each ${gapMs} ms`,
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
    const afterMs = random.next() < 0.5 ? randomInteger(random, 2_500) : LOADED_MS;
    return {
      name: `weights are named, and an engine restarts ${afterMs} ms later`,
      run: async (deployment) => {
        await deployment.nameWeights();
        await new Promise((resolve) => setTimeout(resolve, afterMs));
        const engine = randomElement(random, generationEngines(deployment.fleet.running));
        if (engine) deployment.fleet.restart(engine, restart);
      },
    };
  },
  (random) => ({
    name: 'another writer leaves an odd entry',
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      if (!engine) return;
      return deployment.writeOddEntry(makeOddEntry(random, engine.proxy.address));
    },
  }),
  (random) => ({
    name: "another writer overwrites an engine's entry",
    run: (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      if (!engine) return;
      deployment.fleet.noteTrouble(OVERWRITTEN_MS);
      return deployment.writeOddEntry(makeOddEntry(random, engine.proxy.address), engine.name);
    },
  }),
];
