/**
 * A silent engine wrote again while the router asked another engine whether it may continue the
 * stream. The request was then sent there as well, so that two engines wrote one response.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { startBegunStreams } from '../helpers/begun-streams.js';

const SEED = 1;
/** Silences that end about when another engine is asked. */
const SILENCES_MS = Array.from({ length: 24 }, (_, index) => 2_186 + index);
const GENERATION_ENGINES = [0, 1, 2];

test('a stream that its silent engine continues is not sent to another one', async (t) => {
  const found: string[] = [];
  for (const silentMs of SILENCES_MS) {
    const begun = await startBegunStreams(SEED);
    const { simulation } = begun;
    for (const index of GENERATION_ENGINES)
      simulation.engine(index).silence(simulation.now + silentMs);
    await simulation.settle();
    for (const { id, reply } of begun.streams()) {
      const sent = simulation.observations.runs.filter(({ requestId }) => requestId === id);
      if (reply.ending !== 'whole')
        found.push(`${silentMs}: ${id} ${reply.ending} after ${sent.length} runs`);
    }
    for (const breach of findBreaches(simulation))
      found.push(`${silentMs}: ${JSON.stringify(breach)}`);
  }
  t.deepEqual(found, []);
});
