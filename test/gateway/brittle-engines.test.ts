/**
 * Engines that announced how many rejections they tolerate failed again and again, because routers
 * sent them more requests than they had room for.
 */
import test from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  GENERATION_SERVICE,
  PLAIN_SERVICE,
  type RequestKind,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';

const SEEDS = [1, 2, 3];
const BRITTLE_MS = 12_000;
const BEFORE_MS = 2_000;
const BRITTLENESS = { tolerance: 6, queued: 1 };
/** Two engines serve 279 short requests a second, three engines serve 240 streams. */
const PLAIN_CAPACITY = { slots: 6, queued: 24, serviceMs: 43 };
const GENERATION_CAPACITY = { slots: 8, queued: 16, serviceMs: 100 };
/** Just above the capacity of the service. */
const PLAIN_GAP_MS = 3;
const STREAM_GAP_MS = 4;

interface Load {
  readonly service: string;
  readonly kinds: readonly RequestKind[];
  readonly gapMs: number;
}

const LOADS: readonly Load[] = [
  { service: PLAIN_SERVICE, kinds: ['plain-safe', 'plain-unsafe'], gapMs: PLAIN_GAP_MS },
  {
    service: GENERATION_SERVICE,
    kinds: ['stream-resumable', 'stream-once'],
    gapMs: STREAM_GAP_MS,
  },
];

async function send(simulation: GatewaySimulation, load: Load, forMs: number): Promise<void> {
  const { kinds, gapMs } = load;
  for (let step = 0; step * gapMs < forMs; step += 1) {
    const kind = kinds[Math.floor(step / 3) % kinds.length] as RequestKind;
    simulation.request(step, kind, 'tenant-2', 0);
    await simulation.clock.advance(gapMs);
  }
}

function servedShare({ requests }: GatewaySimulation, fromMs: number): number {
  const sent = requests.filter(({ sentMs }) => sentMs >= fromMs);
  return sent.filter(({ reply }) => reply.status === 200).length / sent.length;
}

test('engines that tolerate few rejections are spared under overload', async (t) => {
  for (const load of LOADS) {
    for (const seed of SEEDS) {
      const simulation = await GatewaySimulation.create(seed);
      simulation.fleet.setCapacity(PLAIN_SERVICE, PLAIN_CAPACITY);
      simulation.fleet.setCapacity(GENERATION_SERVICE, GENERATION_CAPACITY);
      await send(simulation, load, BEFORE_MS);
      const fromMs = simulation.now;
      simulation.fleet.makeBrittle(load.service, BRITTLENESS, BRITTLE_MS);
      await send(simulation, load, BRITTLE_MS);
      const share = servedShare(simulation, fromMs);
      t.log(load.service, seed, simulation.observations.falls.length, share.toFixed(3));
      await simulation.settle();
      t.deepEqual(findBreaches(simulation), []);
      t.true(share > 0.6, `${load.service}, seed ${seed}: served ${share}`);
    }
  }
});
