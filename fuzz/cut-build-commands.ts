/**
 * Fuzz commands on routers that are out of step while engines of another build join: cut off, alone or
 * together, from the store, the other routers or both, or standing still. Streams begin at the others,
 * break, and are taken up at each router in turn.
 */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import {
  GENERATION_SERVICE,
  ROUTERS,
  bodyWithParts,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { BUILDS, takeUpStreams } from './build-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource } from './gateway-commands.js';
import { ENGINE_BUILD_COMMANDS } from './engine-build-commands.js';

const STREAMS = 40;
const GAP_MS = 2;
const MAXIMUM_COMMANDS = 6;

type BeginFault = (
  simulation: GatewaySimulation,
  routers: readonly number[],
  forMs: number,
) => void;

const partition: BeginFault = (simulation, routers, forMs) =>
  simulation.partitionRouters(routers, forMs);
const cutFromStore: BeginFault = (simulation, routers, forMs) =>
  routers.forEach((router) => simulation.cutFromStore(router, forMs));

const FAULTS: ReadonlyMap<string, BeginFault> = new Map<string, BeginFault>([
  ['cut from the others', partition],
  ['cut from the store', cutFromStore],
  [
    'cut off',
    (simulation, routers, forMs) => {
      partition(simulation, routers, forMs);
      cutFromStore(simulation, routers, forMs);
    },
  ],
  [
    'cut off, the store down',
    (simulation, routers, forMs) => {
      partition(simulation, routers, forMs);
      simulation.stopStore(forMs);
    },
  ],
  [
    'frozen',
    (simulation, routers, forMs) =>
      routers.forEach((router) => simulation.freezeRouter(router, forMs)),
  ],
  [
    'suspended',
    (simulation, routers, forMs) =>
      routers.forEach((router) => simulation.suspendRouter(router, forMs)),
  ],
]);

/** Ways in which the streams of one router break. */
const BREAKS: ReadonlyMap<string, (simulation: GatewaySimulation, router: number) => void> =
  new Map([
    [
      'killed',
      (simulation: GatewaySimulation, router: number) => simulation.killRouter(router, 500),
    ],
    ['reset', (simulation: GatewaySimulation, router: number) => simulation.resetCallers(router)],
  ]);

async function sendStreams(simulation: GatewaySimulation, router: number): Promise<void> {
  for (let count = 0; count < STREAMS; count += 1) {
    const body = bodyWithParts([`part-${count}`], `text-${simulation.requests.length}`);
    simulation.request(router, 'stream-resumable', 'tenant-2', 0, body);
    await simulation.clock.advance(GAP_MS);
  }
}

const releaseWhileOutOfStep = fc
  .record({
    fault: fc.constantFrom(...FAULTS.keys()),
    first: fc.nat(ROUTERS - 1),
    count: fc.integer({ min: 1, max: 2 }),
    isReleaseFirst: fc.boolean(),
    beforeMs: fc.constantFrom(0, 50, 300, 1_500),
    settlingMs: fc.constantFrom(100, 800, 2_000, 4_000),
    lastingMs: fc.constantFrom(0, 30, 400),
    build: fc.constantFrom(...BUILDS),
    engines: fc.integer({ min: 0, max: 3 }),
    breaks: fc.constantFrom(...BREAKS.keys()),
  })
  .map(({ fault, first, count, isReleaseFirst, beforeMs, settlingMs, lastingMs, ...release }) => {
    const { build, engines, breaks } = release;
    const routers = Array.from({ length: count }, (_, index) => (first + index) % ROUTERS);
    const beginner = (first + count) % ROUTERS;
    const order = isReleaseFirst ? 'after' : 'before';
    return command(
      `releaseWhileOutOfStep(${fault} ${routers.join('+')}, ${beforeMs} ms ${order} ${build} x${engines}, ` +
        `${settlingMs} ms, lasts ${lastingMs} ms, ${beginner} ${breaks})`,
      async (simulation) => {
        const addEngines = (): void => {
          simulation.fleet.build = build;
          for (let step = 0; step < engines; step += 1) simulation.fleet.add(GENERATION_SERVICE);
        };
        const faultMs = settlingMs + STREAMS * GAP_MS + lastingMs;
        if (isReleaseFirst) addEngines();
        else FAULTS.get(fault)?.(simulation, routers, beforeMs + faultMs);
        await simulation.clock.advance(beforeMs);
        if (isReleaseFirst) FAULTS.get(fault)?.(simulation, routers, faultMs);
        else addEngines();
        await simulation.clock.advance(settlingMs);
        await sendStreams(simulation, beginner);
        BREAKS.get(breaks)?.(simulation, beginner);
        for (let step = 0; step < 3; step += 1) await takeUpStreams(simulation);
      },
    );
  });

/** Waits, also until the builds that have gone are forgotten. */
const pass = fc
  .constantFrom(500, 3_000, 75_000)
  .map((spanMs) => command(`advance(${spanMs})`, (simulation) => simulation.clock.advance(spanMs)));

const CUT_BUILD_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  releaseWhileOutOfStep,
  releaseWhileOutOfStep,
  releaseWhileOutOfStep,
  releaseWhileOutOfStep,
  pass,
  ...ENGINE_BUILD_COMMANDS,
];

/** Generates sequences of builds and of routers out of step. */
export const cutBuildCommands: CommandSource = (maximum) =>
  fc.commands([...CUT_BUILD_COMMANDS], { maxCommands: Math.min(maximum, MAXIMUM_COMMANDS) });
