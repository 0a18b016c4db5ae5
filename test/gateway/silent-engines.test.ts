/**
 * An engine that was silent for a little more than a second, and then went on, lost the streams that
 * it was sending: routers moved them to other engines.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const BEFORE_MS = 1_500;
const GAP_MS = 20;
const SILENT_MS = 1_300;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 14;
const STREAMS = 6;

test('streams wait for an engine that is silent for a little more than a second', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
    await simulation.clock.advance(BEFORE_MS);
    const first = simulation.requests.length;
    for (let count = 0; count < STREAMS; count += 1)
      simulation.request(count, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(FIRST_EVENTS_MS);
    for (const engine of [0, 1, 2])
      simulation.engine(engine).silentUntilMs = simulation.now + SILENT_MS;
    await simulation.settle();
    const streams = simulation.requests.slice(first);
    t.true(streams.every(({ reply }) => reply.ending === 'whole'));
    for (let router = 0; router < simulation.routerCount; router += 1) {
      const { resumedStreams, engineCrashes, enginePathsLost } = simulation.statistics(router);
      t.deepEqual([resumedStreams, engineCrashes, enginePathsLost], [0, 0, 0], `seed ${seed}`);
    }
    t.deepEqual(findBreaches(simulation), []);
  }
});
