/**
 * The engine that was tried instead of a silent one rejected the request late. While a third one was
 * asked for its incarnation, the silent send was cancelled although no other engine had the request,
 * and the response was reset.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { incompleteEnds, startBegunStreams } from '../helpers/begun-streams.js';

const SEEDS = [1, 2, 3];
const SILENT_MS = 2_700;
/** After the stall timeout of the streams. */
const AFTER_STALL_MS = 2_200;
/** Times after which the other engines reject the requests. */
const TRIED_FOR_MS = [100, 200, 294, 295, 296, 297];

for (const triedForMs of TRIED_FOR_MS) {
  test(`a silent engine continues if another one rejects after ${triedForMs} ms`, async (t) => {
    for (const seed of SEEDS) {
      const begun = await startBegunStreams(seed);
      const { simulation } = begun;
      simulation.engine(0).silence(simulation.now + SILENT_MS);
      await simulation.clock.advance(AFTER_STALL_MS / 2);
      const others = [simulation.engine(1), simulation.engine(2)];
      for (const engine of others) engine.queueMs = triedForMs;
      await simulation.clock.advance(AFTER_STALL_MS / 2 + triedForMs / 2);
      for (const engine of others) engine.isLoading = true;
      await simulation.clock.advance(triedForMs);
      await simulation.settle();
      t.deepEqual(incompleteEnds(begun), [], `seed ${seed}`);
      t.deepEqual(findBreaches(simulation), [], `seed ${seed}`);
    }
  });
}
