/**
 * A stream had begun at an engine that fell silent, and one of its prompt parts was quarantined
 * meanwhile. The failover was refused because of the quarantine, and the silent send was cancelled
 * with it, so that the response was reset although its engine would have completed it.
 */
import test from 'ava';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { bodyWithParts } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { storeQuarantine } from '../helpers/stored-quarantine.js';

const SEEDS = [67, 68];
/** Longer than routers take to list the quarantined parts again. */
const LISTED_MS = 42_000;
const PROBE_MS = 200;
const STREAMS = 4;
const FIRST_EVENTS_MS = 20;
const SILENT_MS = 2_500;
/** The part is quarantined about this long after the engines have fallen silent. */
const LEAD_MS = 1_200;
const GENERATION_ENGINES = [0, 1, 2];
const COMMON_PART = 'common';
const BODY = bodyWithParts([COMMON_PART], 'text');

async function createWithQuarantine(seed: number): Promise<GatewaySimulation> {
  const simulation = await GatewaySimulation.create(seed);
  storeQuarantine(simulation, COMMON_PART);
  return simulation;
}

/** Time after which the first router has listed the quarantine. */
async function listingMs(seed: number): Promise<number> {
  const simulation = await createWithQuarantine(seed);
  for (let elapsedMs = 0; elapsedMs < LISTED_MS; elapsedMs += PROBE_MS) {
    simulation.request(0, 'stream-resumable', 'tenant-2', 0, BODY);
    await simulation.clock.advance(PROBE_MS);
    const { quarantineLifted, quarantineRejections } = simulation.statistics(0);
    if (quarantineLifted + quarantineRejections > 0) return elapsedMs;
  }
  throw new Error('the quarantine was not listed');
}

test('a quarantine does not end a response whose engine is silent', async (t) => {
  for (const seed of SEEDS) {
    const listedMs = await listingMs(seed);
    const simulation = await createWithQuarantine(seed);
    await simulation.clock.advance(listedMs - LEAD_MS);
    for (let count = 0; count < STREAMS; count += 1)
      simulation.request(0, 'stream-resumable', 'tenant-2', 0, BODY);
    await simulation.clock.advance(FIRST_EVENTS_MS);
    for (const index of GENERATION_ENGINES)
      simulation.engine(index).silence(simulation.now + SILENT_MS);
    await simulation.settle();
    const endings = simulation.requests.map(({ reply }) => reply.ending);
    t.deepEqual(
      endings.filter((ending) => ending !== 'whole'),
      [],
      `seed ${seed}, listed after ${listedMs} ms`,
    );
    const { quarantineLifted, quarantineRejections } = simulation.statistics(0);
    t.true(quarantineLifted + quarantineRejections > 0, `seed ${seed}: the part was quarantined`);
  }
});
