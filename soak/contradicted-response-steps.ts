/**
 * Steps of a soak in which engines break off heads and send another response behind them, or end streams
 * without a length early and contradict them when their rest is requested.
 */
import { EngineBehavior } from './messages.js';
import type { StepFactory } from './schedule.js';
import { misbehave } from './spoiled-response-steps.js';
import { Service } from './wire.js';

/** Most engines of generations, so that the rest of a stream is often requested from another of them. */
const CONTRADICTING_ENGINES = 4;

const joinHeads = misbehave(EngineBehavior.JoiningHeads, 'join heads of responses');

const contradictStreams = misbehave(
  EngineBehavior.ContradictingStreams,
  'contradict streams',
  CONTRADICTING_ENGINES,
  ({ running }) => running.filter(({ service }) => service === Service.generation),
);

export const CONTRADICTED_RESPONSE_STEPS: readonly StepFactory[] = [
  joinHeads,
  joinHeads,
  joinHeads,
  contradictStreams,
  contradictStreams,
  contradictStreams,
];
