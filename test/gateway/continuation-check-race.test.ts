/**
 * A silent engine wrote again while the router asked another engine whether it may continue the
 * stream. The request was then sent there as well, so that two engines wrote one response.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEED = 1;
const BEFORE_MS = 1_500;
const GAP_MS = 20;
const STREAMS = 6;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 14;
/** Silences that end about when another engine is asked. */
const SILENCES_MS = Array.from({ length: 24 }, (_, index) => 2_186 + index);
const GENERATION_ENGINES = [0, 1, 2];

test('a stream that its silent engine continues is not sent to another one', async (t) => {
  const found: string[] = [];
  for (const silentMs of SILENCES_MS) {
    const simulation = await GatewaySimulation.create(SEED);
    await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
    await simulation.clock.advance(BEFORE_MS);
    const first = simulation.requests.length;
    for (let count = 0; count < STREAMS; count += 1)
      simulation.request(count, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(FIRST_EVENTS_MS);
    for (const index of GENERATION_ENGINES)
      simulation.engine(index).silence(simulation.now + silentMs);
    await simulation.settle();
    for (const { id, reply } of simulation.requests.slice(first)) {
      const sent = simulation.observations.runs.filter(({ requestId }) => requestId === id);
      if (reply.ending !== 'whole')
        found.push(`${silentMs}: ${id} ${reply.ending} after ${sent.length} runs`);
    }
    for (const breach of findBreaches(simulation))
      found.push(`${silentMs}: ${JSON.stringify(breach)}`);
  }
  t.deepEqual(found, []);
});
