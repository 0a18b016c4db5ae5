/**
 * A response that had begun was reset although its engine would have completed it: the engine was
 * silent for a second or two, the router cancelled its send, and then nothing could take its place.
 */
import test from 'ava';
import type { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { incompleteEnds, startBegunStreams } from '../helpers/begun-streams.js';

const SEEDS = [1, 2, 3];
/** Longer than the stall timeout, and shorter than callers wait. */
const SILENT_MS = 2_600;
/** By then, the stall timeout of the streams has not passed. */
const BEFORE_STALL_MS = 1_000;
const GENERATION_ENGINES = [0, 1, 2];

/** What happens while the engines of the streams are silent. */
const EVENTS: readonly (readonly [string, (simulation: GatewaySimulation) => void])[] = [
  ['all engines are silent', () => undefined],
  ['the key is removed', (simulation) => simulation.toggleKey('tenant-2', 0)],
  [
    'all other engines reject',
    (simulation) => {
      for (const index of GENERATION_ENGINES) simulation.engine(index).mode = EngineMode.Busy;
    },
  ],
  ['weights are published', (simulation) => simulation.publishWeights()],
];

test('a response that has begun is not given up while its engine is connected', async (t) => {
  for (const [event, cause] of EVENTS) {
    for (const seed of SEEDS) {
      const begun = await startBegunStreams(seed);
      const { simulation } = begun;
      for (const index of GENERATION_ENGINES)
        simulation.engine(index).silentUntilMs = simulation.now + SILENT_MS;
      await simulation.clock.advance(BEFORE_STALL_MS);
      cause(simulation);
      await simulation.settle();
      t.deepEqual(incompleteEnds(begun), [], `${event}, seed ${seed}`);
      t.deepEqual(findBreaches(simulation), [], `${event}, seed ${seed}`);
    }
  }
});
