/**
 * Responses that had begun at sound engines were reset when a prompt part was quarantined that they
 * shared with prompts of engines that crashed.
 */
import test from 'ava';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { bodyWithParts } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { storeQuarantine } from '../helpers/stored-quarantine.js';

const SEEDS = [67, 68];
/** Longer than routers take to list the quarantined parts again. */
const RUN_MS = 42_000;
const STEP_MS = 10;
const STREAMS_A_STEP = 2;
const COMMON_PART = 'common';

test('a response that has begun is not reset by a quarantine', async (t) => {
  for (const seed of SEEDS) {
    const simulation = await GatewaySimulation.create(seed);
    storeQuarantine(simulation, COMMON_PART);
    for (let elapsedMs = 0; elapsedMs < RUN_MS; elapsedMs += STEP_MS) {
      for (let count = 0; count < STREAMS_A_STEP; count += 1) {
        const number = (elapsedMs / STEP_MS) * STREAMS_A_STEP + count;
        const body = bodyWithParts([COMMON_PART], `text-${number}`);
        simulation.request(number, 'stream-resumable', 'tenant-2', 0, body);
      }
      await simulation.clock.advance(STEP_MS);
    }
    const routers = Array.from({ length: simulation.routerCount }, (_, index) => index);
    // Until a response completes, which lifts the quarantine, requests with the part are rejected.
    const quarantined = routers.map((index) => {
      const { quarantineLifted, quarantineRejections } = simulation.statistics(index);
      return quarantineLifted + quarantineRejections;
    });
    t.true(Math.max(...quarantined) > 0, `seed ${seed}: the part was quarantined`);
    const endings = simulation.requests.map(({ reply }) => reply);
    t.is(endings.filter(({ ending }) => ending === 'aborted').length, 0, `seed ${seed}`);
  }
});
