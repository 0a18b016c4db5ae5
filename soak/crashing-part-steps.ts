/** Steps of a soak in which engines crash on a part of prompts. */
import { randomElement, randomInteger } from '../src/runtime/random.js';
import { CRASHING_PART_PREFIX } from './messages.js';
import type { StepFactory } from './schedule.js';

const MINIMUM_REQUESTS = 8;
const MAXIMUM_REQUESTS = 50;
const MINIMUM_GAP_MS = 60;
const MAXIMUM_GAP_MS = 700;
const KINDS = ['stream-once', 'stream-resumable'] as const;

export const CRASHING_PART_STEPS: readonly StepFactory[] = [
  (random) => {
    const kind = randomElement(random, KINDS) ?? 'stream-once';
    const times = MINIMUM_REQUESTS + randomInteger(random, MAXIMUM_REQUESTS - MINIMUM_REQUESTS);
    const gapMs = MINIMUM_GAP_MS + randomInteger(random, MAXIMUM_GAP_MS - MINIMUM_GAP_MS);
    const sharedPart = `${CRASHING_PART_PREFIX}${randomInteger(random, 2)}`;
    return {
      name: `${kind} with part ${sharedPart}, ${times} times, every ${gapMs} ms`,
      run: (_deployment, resend) => resend({ kind, sharedPart }, times, gapMs),
    };
  },
];
