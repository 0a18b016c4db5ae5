/**
 * A stream that may be repeated and not resumed had begun when its router lost the path to engines.
 * It was sent to another engine, whose events were appended to those of the first one.
 */
import test from 'ava';
import type { ObjectDecoder } from '../../src/coordination/gateway/object-decoder.js';
import { EngineCut } from '../../src/lab/gateway-simulation/engine-links.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { parseStream, streamEventOf } from '../../src/lab/gateway-simulation/simulated-exchange.js';
import { routerName } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const SEEDS = [1, 2, 3];
const BEFORE_MS = 1_500;
const GAP_MS = 20;
const STREAMS = 4;
/** Time after which a stream sends its first events. */
const FIRST_EVENTS_MS = 20;
const CUT_MS = 1_600;

/** Makes streams that are not resumable repeatable, as those of a safe route are. */
function withSafeStreams(decoder: ObjectDecoder): ObjectDecoder {
  return {
    ...decoder,
    configuration: (object) => {
      const decoded = decoder.configuration(object);
      if (decoded.kind !== 'value') return decoded;
      const routes = decoded.value.routes.map((route) =>
        route.name === 'stream-once' ? { ...route, isRepeatable: true } : route,
      );
      return { kind: 'value', value: { ...decoded.value, routes } };
    },
  };
}

test('a stream that can not be resumed is not joined with that of another engine', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed, { decoder: withSafeStreams });
    await sendAllKinds(simulation, BEFORE_MS, GAP_MS);
    await simulation.clock.advance(BEFORE_MS);
    const first = simulation.requests.length;
    for (let count = 0; count < STREAMS; count += 1)
      simulation.request(0, 'stream-once', 'tenant-2', 0);
    await simulation.clock.advance(FIRST_EVENTS_MS);
    simulation.engineLinks.cut(routerName(0), EngineCut.Silent, CUT_MS);
    await simulation.clock.advance(CUT_MS + BEFORE_MS);
    for (const { id, reply } of simulation.requests.slice(first)) {
      const { events } = parseStream(reply.body);
      const expected = [1, 2, 3, 4, 5].map((index) => streamEventOf(id, index)).join('');
      t.true(expected.startsWith(events), `seed ${seed}: ${reply.ending} ${events}`);
      t.is(reply.ending, 'whole', `seed ${seed}`);
    }
  }
});
