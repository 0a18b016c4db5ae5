/**
 * Steps of a soak in which routers stop that are short of processor time, while callers keep sending
 * streams to them that last for seconds, beside other planned operations.
 */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { Step, StepFactory } from './schedule.js';
import type { Throttle } from './router-process.js';

/** Time of the first stop. */
export const FIRST_LONG_STOP_MS = 500;
/** Time after which the faults of other steps may begin, so that the first stop is judged without. */
export const LONG_STOP_SPAN_MS = 9_500;
/** How short of processor time a router is; the first one is not. */
const THROTTLES: readonly (Throttle | undefined)[] = [
  undefined,
  { pauseMs: 60, periodMs: 160 },
  { pauseMs: 100, periodMs: 200 },
  { pauseMs: 300, periodMs: 400 },
];
/** Beyond the end of the process. */
const THROTTLE_MS = 12_000;
/** Time between the start of the callers and SIGTERM: some early connections are open by then. */
const CALLERS_LEAD_MS = 700;
/** Time from the shortage of processor time to the start of the callers. */
const THROTTLE_LEADS_MS = [0, 300, 1_500] as const;
const MAXIMUM_OPERATIONS = 4;
const MAXIMUM_OPERATION_DELAY_MS = 6_000;
const IDLE_TIMEOUTS_MS = [2_000, 6_000, 15_000] as const;
const ROUTE_TIMEOUTS_MS = [9_000, 12_000] as const;
/** The first draws of consecutive seeds are alike. */
const SKIPPED_DRAWS = 16;

/** A planned operation beside a stop. */
interface Operation {
  readonly name: string;
  readonly run: (deployment: Deployment) => unknown;
}

/** @param index the router that stops */
function drawOperation(random: RandomSource, routers: number, index: number): Operation {
  const other = randomInteger(random, routers);
  const key = randomElement(random, ['key-1b', 'key-2b']) ?? 'key-1b';
  const idleMs = randomElement(random, IDLE_TIMEOUTS_MS) ?? IDLE_TIMEOUTS_MS[0];
  const timeoutMs = randomElement(random, ROUTE_TIMEOUTS_MS) ?? ROUTE_TIMEOUTS_MS[0];
  const operations: readonly Operation[] = [
    { name: 'SIGTERM again', run: ({ routers: all }) => all[index]?.stop() },
    { name: 'SIGHUP', run: ({ routers: all }) => all[index]?.reload() },
    { name: `router-${other} stops`, run: ({ routers: all }) => all[other]?.stop() },
    { name: `router-${other} reloads`, run: ({ routers: all }) => all[other]?.reload() },
    { name: `${key} is toggled`, run: (deployment) => deployment.toggleKey(key) },
    {
      name: `idle connections time out after ${idleMs} ms`,
      run: (deployment) => deployment.setIdleTimeout(idleMs),
    },
    {
      name: `routes time out after ${timeoutMs} ms`,
      run: (deployment) => deployment.setRouteTimeout(timeoutMs),
    },
    { name: 'weights are published', run: (deployment) => deployment.publishWeights() },
    {
      name: 'an engine is drained and replaced',
      run: ({ fleet }) => {
        const engine = fleet.running[other % fleet.running.length];
        return engine && fleet.replace(engine);
      },
    },
  ];
  return randomElement(random, operations) as Operation;
}

/** A router stops under its callers, with other planned operations beside and after it. */
const stopUnderCallers: StepFactory = (random, routers) => {
  const index = randomInteger(random, routers);
  const throttle = randomElement(random, THROTTLES);
  const leadMs = randomElement(random, THROTTLE_LEADS_MS) ?? 0;
  const callerSeed = randomInteger(random, 1_000_000);
  const operations = Array.from({ length: randomInteger(random, MAXIMUM_OPERATIONS + 1) }, () => ({
    delayMs: randomInteger(random, MAXIMUM_OPERATION_DELAY_MS),
    ...drawOperation(random, routers, index),
  }));
  const pace = throttle ? `paused ${throttle.pauseMs} of ${throttle.periodMs} ms` : 'not paused';
  const beside = operations.map(({ name, delayMs }) => `${name} at ${delayMs} ms`).join(', ');
  return {
    name: `router-${index}, ${pace} for ${leadMs} ms, stops under callers; beside it: ${beside || 'nothing'}`,
    run: async (deployment, _resend, callPersistently) => {
      const router = deployment.routers[index];
      if (throttle) router?.throttle(throttle, THROTTLE_MS);
      await pause(leadMs);
      void callPersistently(index, callerSeed);
      await pause(CALLERS_LEAD_MS);
      router?.stop();
      for (const { delayMs, run } of operations) setTimeout(() => void run(deployment), delayMs);
    },
  };
};

/** A router is short of processor time without a stop. */
const throttleRouter: StepFactory = (random, routers) => {
  const index = randomInteger(random, routers);
  const throttle = randomElement(random, THROTTLES.slice(1));
  const forMs = 1_000 + randomInteger(random, THROTTLE_MS);
  return {
    name: `router-${index} paused ${throttle?.pauseMs} of ${throttle?.periodMs} ms for ${forMs} ms`,
    run: ({ routers: all }) => {
      if (throttle) all[index]?.throttle(throttle, forMs);
    },
  };
};

/** The first step of a soak with long streams. */
export function drawFirstLongStop(random: RandomSource, routers: number): Step {
  for (let draw = 0; draw < SKIPPED_DRAWS; draw += 1) random.next();
  return { atMs: FIRST_LONG_STOP_MS, ...stopUnderCallers(random, routers) };
}

export const LONG_STREAM_STEPS: readonly StepFactory[] = [
  stopUnderCallers,
  stopUnderCallers,
  stopUnderCallers,
  stopUnderCallers,
  throttleRouter,
];

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
