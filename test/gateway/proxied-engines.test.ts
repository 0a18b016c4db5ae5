/**
 * Guards against streams that are stated to be complete after their engine has crashed behind a proxy
 * that still accepts connections.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { BodyFraming } from '../../src/protocol/inference/port.js';

const ENGINES = 10;
const STREAMS = 12;
/** An engine is in the midst of its streams then. */
const FIRST_EVENTS_MS = 25;

test('a stream whose engine crashes behind a proxy does not end as complete', async (t) => {
  for (const kind of ['stream-once', 'stream-resumable'] as const) {
    const simulation = await GatewaySimulation.create(1);
    simulation.fleet.hasProxies = true;
    const engines = [...Array(ENGINES).keys()];
    for (const index of engines) simulation.engine(index).framing = BodyFraming.Connection;
    for (let stream = 0; stream < STREAMS; stream += 1)
      simulation.request(stream % 3, kind, 'tenant-2', 0);
    await simulation.clock.advance(FIRST_EVENTS_MS);
    for (const index of engines)
      if (simulation.engine(index).running.size > 0) simulation.fleet.crash(index);
    await simulation.settle();
    t.deepEqual(findBreaches(simulation), [], kind);
    const begun = simulation.requests.filter(({ reply }) => reply.body !== '');
    t.true(begun.length > 0, kind);
  }
});
