/**
 * Steps of a soak in which engines spoil the heads of their responses or end them early, and in which
 * all routers are killed at once, while engines of two builds serve.
 */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Engine, EngineFleet } from './engine-fleet.js';
import { EngineBehavior } from './messages.js';
import type { StepFactory } from './schedule.js';

const MINIMUM_FAULT_MS = 1_000;
const MAXIMUM_FAULT_MS = 4_000;
const DOWN_MS = [300, 2_500] as const;

/** Chooses the engines that may misbehave. */
type Selection = (fleet: EngineFleet) => readonly Engine[];

const runningEngines: Selection = ({ running }) => running;

/** Makes some engines behave in a way for a while. */
export function misbehave(
  behavior: EngineBehavior,
  action: string,
  maximumCount = 2,
  select = runningEngines,
): StepFactory {
  return (random) => {
    const forMs = MINIMUM_FAULT_MS + randomInteger(random, MAXIMUM_FAULT_MS - MINIMUM_FAULT_MS);
    const count = 1 + randomInteger(random, maximumCount);
    return {
      name: `${count} engines ${action} for ${forMs} ms`,
      run: ({ fleet }) => {
        fleet.recordFault(forMs);
        for (let turn = 0; turn < count; turn += 1) {
          const engine = randomElement(random, select(fleet));
          if (!engine) return;
          fleet.setBehavior(engine, behavior);
          setTimeout(() => fleet.setBehavior(engine, EngineBehavior.Healthy), forMs);
        }
      },
    };
  };
}

/** Some engines flip a bit in the status line of each response. */
const spoilResponses = misbehave(EngineBehavior.Spoiling, 'spoil their responses');

/** Some engines send a part of each response, without a length, and close its connection in order. */
const endResponsesEarly = misbehave(EngineBehavior.EndingEarly, 'end their responses early');

const killAllRouters: StepFactory = (random) => {
  const downMs = randomElement(random, DOWN_MS) ?? DOWN_MS[0];
  return {
    name: `kill all routers for ${downMs} ms`,
    run: ({ routers }) => routers.forEach((router) => router.kill(downMs)),
  };
};

export const SPOILED_RESPONSE_STEPS: readonly StepFactory[] = [
  spoilResponses,
  spoilResponses,
  spoilResponses,
  spoilResponses,
  killAllRouters,
  killAllRouters,
];

export const EARLY_END_STEPS: readonly StepFactory[] = [
  endResponsesEarly,
  endResponsesEarly,
  endResponsesEarly,
];
