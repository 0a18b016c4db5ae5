/** Steps of a soak in which a tenant exceeds its limit while routers pause. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import type { Deployment } from './deployment.js';
import type { StepFactory } from './schedule.js';

const BURST_CALLERS = 24;
const BURST_KINDS = ['stream-once', 'stream-resumable'] as const;
const MINIMUM_BURST_CALLS = 40;
const MAXIMUM_BURST_CALLS = 160;
const BURST_GAP_MS = 20;
/** The shorter pauses end before a router is taken for failed. */
const PAUSES_MS = [30, 60, 90, 200, 1_000] as const;
const MINIMUM_PAUSES = 4;
const MAXIMUM_PAUSES = 30;

/** Pauses routers again and again, each for half of the time. */
async function pauseRepeatedly(
  { routers }: Deployment,
  indices: readonly number[],
  pauseMs: number,
  times: number,
): Promise<void> {
  for (let count = 0; count < times; count += 1) {
    for (const index of indices) routers[index]?.freeze(pauseMs);
    await new Promise((resolve) => setTimeout(resolve, 2 * pauseMs));
  }
}

export const TENANT_QUOTA_STEPS: readonly StepFactory[] = [
  (random) => {
    const kind = randomElement(random, BURST_KINDS) ?? 'stream-once';
    const calls =
      MINIMUM_BURST_CALLS + randomInteger(random, MAXIMUM_BURST_CALLS - MINIMUM_BURST_CALLS);
    return {
      name: `${BURST_CALLERS} callers of a tenant send ${kind} ${calls} times each`,
      run: async (_deployment, resend) => {
        const callers = Array.from({ length: BURST_CALLERS }, () =>
          resend({ kind }, calls, BURST_GAP_MS),
        );
        await Promise.all(callers);
      },
    };
  },
  (random, routers) => {
    const pauseMs = randomElement(random, PAUSES_MS) ?? PAUSES_MS[0];
    const times = MINIMUM_PAUSES + randomInteger(random, MAXIMUM_PAUSES - MINIMUM_PAUSES);
    const first = randomInteger(random, routers);
    const second = randomInteger(random, routers);
    return {
      name: `router-${first} and router-${second} pause for ${pauseMs} ms, ${times} times`,
      run: (deployment) => pauseRepeatedly(deployment, [first, second], pauseMs, times),
    };
  },
];
