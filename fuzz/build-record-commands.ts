/**
 * Fuzz commands on the record of builds in the store: engines of builds come and go while the store
 * refuses, loses or delays writes or is restored from an older copy, and all routers are killed.
 */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import { GENERATION_SERVICE } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';
import {
  BUILDS,
  OUTAGE_START_MS,
  killAllRouters,
  sendStreams,
  takeUpStreams,
} from './build-traffic.js';

const GAP_MS = 2;
const STREAMS_MS = 60;

/** A fault of the store, which begins when it is called. */
interface StoreFault {
  readonly name: string;
  begin(simulation: GatewaySimulation): void;
}

const STORE_FAULTS: readonly StoreFault[] = [
  { name: 'none', begin: () => undefined },
  { name: 'refuses for 1 s', begin: (simulation) => simulation.refuseWrites(1_000) },
  { name: 'refuses for 9 s', begin: (simulation) => simulation.refuseWrites(9_000) },
  { name: 'down for 700 ms', begin: (simulation) => simulation.stopStore(700) },
  { name: 'down for 5 s', begin: (simulation) => simulation.stopStore(5_000) },
  {
    name: 'answers lost',
    begin: ({ store }) => store.writeFaults.push('answer-lost', 'answer-lost', 'answer-lost'),
  },
  {
    name: 'late writes',
    begin: ({ store }) => store.writeFaults.push('late', 'late', 'late', 'late'),
  },
  { name: 'router 0 cut off', begin: (simulation) => simulation.cutFromStore(0, 6_000) },
  {
    name: 'routers 1 and 2 cut off',
    begin: (simulation) => [1, 2].forEach((index) => simulation.cutFromStore(index, 6_000)),
  },
  { name: 'restored', begin: (simulation) => restore(simulation, 200) },
];

function restore(simulation: GatewaySimulation, lostMs: number): void {
  simulation.restoreStore({ lostMs, awayMs: 100, writtenAgainMs: 100 });
}

/** What the copy lacks from which the store is restored while all routers are down, in milliseconds. */
const LOST_MS = [undefined, undefined, undefined, 300, 2_000, 20_000] as const;

const storeFault = fc
  .constantFrom(...STORE_FAULTS)
  .map((fault) => command(`storeFault(${fault.name})`, (simulation) => fault.begin(simulation)));

const refuseWrites = fc
  .constantFrom(300, 2_000, 9_000)
  .map((forMs) =>
    command(`refuseWrites(${forMs})`, (simulation) => simulation.refuseWrites(forMs)),
  );

/** Engines of one build end; engines of another build take over their addresses. */
const replaceBuild = fc
  .tuple(fc.constantFrom(...BUILDS), fc.constantFrom(...BUILDS))
  .map(([from, to]) =>
    command(`replaceBuild(${from}, ${to})`, (simulation) => {
      simulation.fleet.build = to;
      simulation.fleet.replaceBuild(GENERATION_SERVICE, from);
    }),
  );

/** Which engines end during an outage of all routers. */
enum Leaving {
  /** Those of the build that came last; the other build takes over their addresses. */
  Newcomers = 'newcomers',
  /** Those of all other builds. */
  Others = 'others',
  None = 'none',
}

/**
 * A build comes while the store is faulty, streams begin, all routers are killed, and meanwhile the
 * engines of one build are replaced by another build's. No stream is joined from two builds if the
 * store tells routers that start afterwards nothing, or everything.
 */
const buildDuringStoreFault = fc
  .record({
    fault: fc.constantFrom(...STORE_FAULTS),
    build: fc.constantFrom('build-2', 'build-2', 'build-3', 'build-1'),
    count: fc.integer({ min: 1, max: 3 }),
    settlingMs: fc.constantFrom(0, 0, 30, 100, 400, 1_500),
    leaving: fc.constantFrom(
      Leaving.Newcomers,
      Leaving.Newcomers,
      Leaving.Newcomers,
      Leaving.Others,
      Leaving.None,
    ),
    staying: fc.constantFrom('build-1', 'build-1', 'build-1', 'build-2', 'build-3'),
    lostMs: fc.constantFrom(...LOST_MS),
    downMs: fc.constantFrom(300, 3_000),
  })
  .map(({ fault, build, count, settlingMs, leaving, staying, lostMs, downMs }) =>
    command(
      `buildDuringStoreFault(${fault.name}, ${build} x${count}, ${settlingMs} ms, ${leaving} leave, ` +
        `${staying} stays, restored ${lostMs ?? 'not'}, ${downMs} ms)`,
      async (simulation) => {
        fault.begin(simulation);
        simulation.fleet.build = build;
        for (let step = 0; step < count; step += 1) simulation.fleet.add(GENERATION_SERVICE);
        await simulation.clock.advance(settlingMs);
        await sendStreams(simulation, STREAMS_MS, GAP_MS);
        killAllRouters(simulation, downMs);
        simulation.fleet.build = staying;
        for (const each of leavingBuilds(leaving, build))
          simulation.fleet.replaceBuild(GENERATION_SERVICE, each);
        if (lostMs !== undefined) restore(simulation, lostMs);
        await simulation.clock.advance(downMs + OUTAGE_START_MS);
        await takeUpStreams(simulation);
      },
    ),
  );

function leavingBuilds(leaving: Leaving, newest: string): readonly string[] {
  if (leaving === Leaving.None) return [];
  return BUILDS.filter((build) => (build === newest) === (leaving === Leaving.Newcomers));
}

/** Waits until builds that have gone are removed from the record. */
const outliveBuilds = fc
  .constantFrom(58_000, 62_000)
  .map((spanMs) => command(`advance(${spanMs})`, (simulation) => simulation.clock.advance(spanMs)));

/** Repeated ones are drawn more often. */
export const BUILD_RECORD_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  storeFault,
  refuseWrites,
  replaceBuild,
  buildDuringStoreFault,
  buildDuringStoreFault,
  buildDuringStoreFault,
];

/** Commands that take minutes of simulated time. */
export const LASTING_BUILD_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [outliveBuilds];
