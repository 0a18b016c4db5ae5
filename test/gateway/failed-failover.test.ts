/**
 * The engine that was tried instead of a silent one rejected the request late. While a third one was
 * asked for its incarnation, the silent send was cancelled although no other engine had the request,
 * and the response was reset.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const BEFORE_MS = 1_500;
const GAP_MS = 20;
const STREAMS = 6;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 14;
const SILENT_MS = 2_700;
/** After the stall timeout of the streams. */
const AFTER_STALL_MS = 2_200;
/** Times after which the other engines reject the requests. */
const TRIED_FOR_MS = [100, 200, 294, 295, 296, 297];

for (const triedForMs of TRIED_FOR_MS) {
  test(`a silent engine continues if another one rejects after ${triedForMs} ms`, async (t) => {
    for (const seed of SEEDS) {
      const simulation = await GatewaySimulation.create(seed);
      await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
      await simulation.clock.advance(BEFORE_MS);
      const first = simulation.requests.length;
      for (let count = 0; count < STREAMS; count += 1)
        simulation.request(count, 'stream-resumable', 'tenant-2', 0);
      await simulation.clock.advance(FIRST_EVENTS_MS);
      simulation.engine(0).silence(simulation.now + SILENT_MS);
      await simulation.clock.advance(AFTER_STALL_MS / 2);
      const others = [simulation.engine(1), simulation.engine(2)];
      for (const engine of others) engine.queueMs = triedForMs;
      await simulation.clock.advance(AFTER_STALL_MS / 2 + triedForMs / 2);
      for (const engine of others) engine.isLoading = true;
      await simulation.clock.advance(triedForMs);
      await simulation.settle();
      const endings = simulation.requests.slice(first).map(({ reply }) => reply.ending);
      t.deepEqual(
        endings.filter((ending) => ending !== 'whole'),
        [],
        `seed ${seed}`,
      );
      t.deepEqual(findBreaches(simulation), [], `seed ${seed}`);
    }
  });
}
