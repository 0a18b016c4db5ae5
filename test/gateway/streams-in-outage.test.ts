/**
 * Guards against streams of the only build that are rejected when their callers take them up, although
 * everything that decides it is known: the store can be read, or every router that may have begun streams
 * can be asked.
 */
import test, { type ExecutionContext } from 'ava';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { ReturningCallers } from '../../src/lab/gateway-simulation/returning-callers.js';
import { ROUTERS, bodyWithParts } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import type { Logger } from '../../src/runtime/logger.js';

const SEEDS = [1, 2, 3];
const RECORDED_MS = 3_000;
const FAULT_MS = 30_000;
const BEFORE_MS = 1_500;
const STREAMS = 40;
const GAP_MS = 3;
const RETURN_MS = 100;
const RETURNS = 20;
const DOWN_MS = 120;
const GRACE_MS = 5;

/** Counts reads of the record of builds. */
class ReadCounter implements Logger {
  reads = 0;

  info(event: string): void {
    if (event === 'builds_read') this.reads += 1;
  }

  debug(): void {}
  warn(): void {}
  error(): void {}
}

interface Outage {
  readonly title: string;
  readonly begin: (simulation: GatewaySimulation) => void;
  /** Breaks the streams, which began at router 0. */
  readonly breakStreams: (simulation: GatewaySimulation) => void;
}

interface Outcome {
  readonly streams: number;
  readonly continued: number;
  readonly attempts: number;
  readonly reads: number;
}

const storeDown = (simulation: GatewaySimulation): void => simulation.stopStore(FAULT_MS);
const killed = (simulation: GatewaySimulation): void => simulation.killRouter(0, FAULT_MS);
const restarted = (simulation: GatewaySimulation): void => simulation.killRouter(0, DOWN_MS);
const reset = (simulation: GatewaySimulation): void => simulation.resetCallers(0);
const stopped = (simulation: GatewaySimulation): void => simulation.stopRouter(0, GRACE_MS);

async function play(seed: number, { begin, breakStreams }: Outage): Promise<Outcome> {
  const logger = new ReadCounter();
  const simulation = await GatewaySimulation.create(seed, {
    settings: { proofLifetimeMs: 60_000 },
    logger,
  });
  const callers = new ReturningCallers(simulation);
  await simulation.clock.advance(RECORDED_MS);
  begin(simulation);
  await simulation.clock.advance(BEFORE_MS);
  for (let count = 0; count < STREAMS; count += 1) {
    const body = bodyWithParts([`part-${count}`], `text-${count}`);
    simulation.request(0, 'stream-resumable', 'tenant-2', 0, body);
    await simulation.clock.advance(GAP_MS);
  }
  const readsBefore = logger.reads;
  breakStreams(simulation);
  await simulation.clock.advance(GRACE_MS);
  for (let step = 0; step < RETURNS; step += 1) {
    callers.takeUpBroken();
    await simulation.clock.advance(RETURN_MS);
  }
  const { streams, continuedStreams: continued, attempts } = callers.outcomes;
  const reads = logger.reads - readsBefore;
  await simulation.settle();
  const joined = findBreaches(simulation).filter(({ rule }) => rule === 'one-build');
  if (joined.length > 0) throw new Error(`${joined.length} streams joined`);
  return { streams, continued, attempts, reads };
}

function goOn(outage: Outage, share: number): (t: ExecutionContext) => Promise<void> {
  return async (t) => {
    for (const seed of SEEDS) {
      const { streams, continued, attempts, reads } = await play(seed, outage);
      t.log(`seed ${seed}: ${continued} of ${streams} go on, ${attempts} attempts, ${reads} reads`);
      t.true(streams >= 5, `seed ${seed}: ${streams}`);
      t.is(continued, share * streams, `seed ${seed}`);
    }
  };
}

const GO_ON: readonly Outage[] = [
  { title: 'the store is down, connections reset', begin: storeDown, breakStreams: reset },
  { title: 'the store is down, planned stop', begin: storeDown, breakStreams: stopped },
  { title: 'the store is down, router restarted', begin: storeDown, breakStreams: restarted },
  { title: 'no outage, connections reset', begin: () => undefined, breakStreams: reset },
  { title: 'no outage, router killed', begin: () => undefined, breakStreams: killed },
  {
    title: 'all routers are cut off from each other',
    begin: (simulation) => {
      for (let router = 0; router < ROUTERS; router += 1)
        simulation.partitionRouters([router], FAULT_MS);
    },
    breakStreams: killed,
  },
  {
    title: 'one router cannot reach the store',
    begin: (simulation) => simulation.cutFromStore(1, FAULT_MS),
    breakStreams: killed,
  },
  {
    title: 'two routers are cut off from the third',
    begin: (simulation) => simulation.partitionRouters([1, 2], FAULT_MS),
    breakStreams: killed,
  },
];

/** A router that may still run, and may have begun streams at a new build, can't be asked. */
const REJECTED: readonly Outage[] = [
  { title: 'the store is down, router killed', begin: storeDown, breakStreams: killed },
  {
    title: 'two routers are cut off from the third and the store',
    begin: (simulation) => {
      simulation.partitionRouters([1, 2], FAULT_MS);
      for (const router of [1, 2]) simulation.cutFromStore(router, FAULT_MS);
    },
    breakStreams: killed,
  },
];

for (const outage of GO_ON)
  test(`streams of the only build go on: ${outage.title}`, goOn(outage, 1));
for (const outage of REJECTED) test(`streams are rejected: ${outage.title}`, goOn(outage, 0));
