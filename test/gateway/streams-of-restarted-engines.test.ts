/**
 * Guards against whole streams without a length that are broken off, as if their engine were gone, because
 * a router that has just started does not know yet that the engine had restarted before the request.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { EngineRestart } from '../../src/lab/gateway-simulation/simulated-fleet.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';

const ENGINES = 10;
const STREAMS = 40;
const STREAM_GAP_MS = 5;
/** Longer than the clocks of two machines may differ, so that the requests certainly follow the restart. */
const ROUTER_DOWN_MS = 1_500;
/** The new entry is written after the streams have ended. */
const RESTART: EngineRestart = {
  downMs: 50,
  cutMs: 0,
  entryDelayMs: 5_000,
  losesLoad: false,
  clockStepMs: 0,
};

for (const kind of ['stream-once', 'stream-resumable'] as const) {
  test(`a ${kind} of an engine that has restarted unseen is complete`, async (t) => {
    const simulation = await GatewaySimulation.create(1);
    const engines = [...Array(ENGINES).keys()];
    simulation.killRouter(0, ROUTER_DOWN_MS);
    for (const index of engines) simulation.fleet.restart(index, RESTART);
    await simulation.clock.advance(ROUTER_DOWN_MS);
    for (const index of engines) simulation.engine(index).framing = BodyFraming.Connection;
    for (let stream = 0; stream < STREAMS; stream += 1) {
      simulation.request(0, kind, 'tenant-2', 0);
      await simulation.clock.advance(STREAM_GAP_MS);
    }
    await simulation.settle();
    const begun = simulation.requests.filter(({ reply }) => reply.status === 200);
    t.true(begun.length > 0);
    t.true(begun.every(({ reply }) => reply.ending === 'whole'));
    t.deepEqual(findBreaches(simulation), []);
  });
}
