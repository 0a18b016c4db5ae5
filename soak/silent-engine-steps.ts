/** Steps of a soak in which sound engines are silent for a while, beside planned operations. */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { Engine } from './engine-fleet.js';
import type { StepFactory } from './schedule.js';
import { Service } from './wire.js';

const MINIMUM_SILENCE_MS = 300;
const MAXIMUM_SILENCE_MS = 1_800;
const ROUTE_TIMEOUTS_MS = [1_200, 2_000, 3_000] as const;
const IDLE_TIMEOUTS_MS = [2_000, 6_000, 15_000] as const;
/** Time from the start of a silence to an operation. */
const OPERATION_DELAYS_MS = [0, 200, 900] as const;

function drawSilence(random: RandomSource): number {
  return MINIMUM_SILENCE_MS + randomInteger(random, MAXIMUM_SILENCE_MS - MINIMUM_SILENCE_MS);
}

function drawService(random: RandomSource): string {
  return randomElement(random, [Service.plain, Service.generation]) ?? Service.generation;
}

function enginesOf({ fleet }: Deployment, service: string): readonly Engine[] {
  return fleet.running.filter((engine) => engine.service === service);
}

/** A planned operation. */
interface Operation {
  readonly name: string;
  readonly run: (deployment: Deployment) => unknown;
}

function drawOperation(random: RandomSource, routers: number): Operation {
  const index = randomInteger(random, routers);
  const key = randomElement(random, ['key-1b', 'key-2b']) ?? 'key-1b';
  const timeoutMs = randomElement(random, ROUTE_TIMEOUTS_MS) ?? ROUTE_TIMEOUTS_MS[0];
  const idleMs = randomElement(random, IDLE_TIMEOUTS_MS) ?? IDLE_TIMEOUTS_MS[0];
  const operations: readonly Operation[] = [
    { name: `router-${index} stops`, run: ({ routers: all }) => all[index]?.stop() },
    { name: `${key} is toggled`, run: (deployment) => deployment.toggleKey(key) },
    {
      name: `routes time out after ${timeoutMs} ms`,
      run: (deployment) => deployment.setRouteTimeout(timeoutMs),
    },
    {
      name: `idle connections time out after ${idleMs} ms`,
      run: (deployment) => deployment.setIdleTimeout(idleMs),
    },
    { name: 'weights are published', run: (deployment) => deployment.publishWeights() },
  ];
  return randomElement(random, operations) as Operation;
}

/** All engines of a service are silent at once while something planned happens. */
const silenceServiceDuringOperation: StepFactory = (random, routers) => {
  const service = drawService(random);
  const forMs = drawSilence(random);
  const operation = drawOperation(random, routers);
  const delayMs = randomElement(random, OPERATION_DELAYS_MS) ?? 0;
  return {
    name: `all ${service} engines silent for ${forMs} ms; after ${delayMs} ms ${operation.name}`,
    run: (deployment) => {
      for (const engine of enginesOf(deployment, service)) deployment.fleet.silence(engine, forMs);
      setTimeout(() => void operation.run(deployment), delayMs);
    },
  };
};

/** Engines of a service are silent one after the other, or several at once. */
const silenceEngines: StepFactory = (random) => {
  const service = drawService(random);
  const forMs = drawSilence(random);
  const gapMs = randomElement(random, [0, 400, 1_500]) ?? 0;
  const count = 1 + randomInteger(random, 3);
  return {
    name: `${count} ${service} engines silent for ${forMs} ms, one each ${gapMs} ms`,
    run: (deployment) => {
      for (const [turn, engine] of enginesOf(deployment, service).slice(0, count).entries())
        setTimeout(() => deployment.fleet.silence(engine, forMs), turn * gapMs);
    },
  };
};

export const SILENT_ENGINE_STEPS: readonly StepFactory[] = [
  silenceEngines,
  silenceEngines,
  silenceEngines,
  silenceServiceDuringOperation,
  silenceServiceDuringOperation,
  silenceServiceDuringOperation,
  silenceServiceDuringOperation,
  silenceServiceDuringOperation,
];
