/**
 * The engine that was tried instead of a silent one lost its connection after a while, and a third
 * one was tried. The silent one kept the request for the whole overlap of each.
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
/** A little longer than the response timeout of the streams. */
const UNTIL_FAILOVER_MS = 510;
const TRIED_FOR_MS = [100, 200, 260];
const GENERATION_ENGINES = [0, 1, 2];

for (const triedForMs of TRIED_FOR_MS) {
  test(`two engines have a request briefly if one is lost after ${triedForMs} ms`, async (t) => {
    for (const seed of SEEDS) {
      const simulation = await GatewaySimulation.create(seed);
      await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
      await simulation.clock.advance(BEFORE_MS);
      for (const index of GENERATION_ENGINES) simulation.engine(index).mode = EngineMode.Hanging;
      for (let count = 0; count < STREAMS; count += 1)
        simulation.request(count, 'stream-resumable', 'tenant-2', 0);
      await simulation.clock.advance(UNTIL_FAILOVER_MS / 2);
      const first = GENERATION_ENGINES.map((index) => new Set(simulation.engine(index).running));
      await simulation.clock.advance(UNTIL_FAILOVER_MS / 2 + triedForMs);
      for (const index of GENERATION_ENGINES) {
        for (const running of [...simulation.engine(index).running])
          if (!first[index]?.has(running)) running.reset();
      }
      await simulation.settle();
      t.deepEqual(findBreaches(simulation), [], `seed ${seed}`);
    }
  });
}
