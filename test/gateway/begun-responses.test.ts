/**
 * A response that had begun was reset although its engine would have completed it: the engine was
 * silent for a second or two, the router cancelled its send, and then nothing could take its place.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../../src/lab/gateway-simulation/simulated-engine.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const BEFORE_MS = 1_500;
const GAP_MS = 20;
const STREAMS = 6;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 14;
/** Longer than the stall timeout, and shorter than callers wait. */
const SILENT_MS = 1_900;
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
      const simulation = await GatewaySimulation.create(seed);
      await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
      await simulation.clock.advance(BEFORE_MS);
      const first = simulation.requests.length;
      for (let count = 0; count < STREAMS; count += 1)
        simulation.request(count, 'stream-resumable', 'tenant-2', 0);
      await simulation.clock.advance(FIRST_EVENTS_MS);
      for (const index of GENERATION_ENGINES)
        simulation.engine(index).silentUntilMs = simulation.now + SILENT_MS;
      await simulation.clock.advance(BEFORE_STALL_MS);
      cause(simulation);
      await simulation.settle();
      const endings = simulation.requests.slice(first).map(({ reply }) => reply.ending);
      t.deepEqual(
        endings.filter((ending) => ending !== 'whole'),
        [],
        `${event}, seed ${seed}`,
      );
      t.deepEqual(findBreaches(simulation), [], `${event}, seed ${seed}`);
    }
  }
});
