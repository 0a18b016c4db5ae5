/**
 * An engine that was silent for a little more than a second, and then went on, lost the streams that
 * it was sending: routers moved them to other engines.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { incompleteEnds, startBegunStreams } from '../helpers/begun-streams.js';

const SEEDS = [1, 2, 3];
const SILENT_MS = 1_300;

test('streams wait for an engine that is silent for a little more than a second', async (t) => {
  for (const seed of SEEDS) {
    const begun = await startBegunStreams(seed);
    const { simulation } = begun;
    for (const engine of [0, 1, 2])
      simulation.engine(engine).silentUntilMs = simulation.now + SILENT_MS;
    await simulation.settle();
    t.deepEqual(incompleteEnds(begun), []);
    for (let router = 0; router < simulation.routerCount; router += 1) {
      const { resumedStreams, engineCrashes, enginePathsLost } = simulation.statistics(router);
      t.deepEqual([resumedStreams, engineCrashes, enginePathsLost], [0, 0, 0], `seed ${seed}`);
    }
    t.deepEqual(findBreaches(simulation), []);
  }
});
