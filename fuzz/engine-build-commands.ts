/** Fuzz commands on engines of several builds and on callers that take up their streams again. */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import { ReturningCallers } from '../src/lab/gateway-simulation/returning-callers.js';
import { GENERATION_SERVICE, ROUTERS } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const GAP_MS = 8;
const RETURN_MS = 20;
const OUTAGE_STREAMS_MS = 60;
/** Time for routers to serve again after all were killed. */
const OUTAGE_START_MS = 400;
const build = fc.constantFrom('build-1', 'build-2', 'build-3');
const callersOf = new WeakMap<GatewaySimulation, ReturningCallers>();

/** The callers of a simulation, which take up each broken stream once. */
function returningCallers(simulation: GatewaySimulation): ReturningCallers {
  const callers = callersOf.get(simulation) ?? new ReturningCallers(simulation);
  callersOf.set(simulation, callers);
  return callers;
}

async function sendStreams(simulation: GatewaySimulation, forMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += GAP_MS) {
    simulation.request(elapsedMs / GAP_MS, 'stream-resumable', 'tenant-2', 0);
    await simulation.clock.advance(GAP_MS);
  }
}

async function takeUpStreams(simulation: GatewaySimulation): Promise<void> {
  const RETURNS = 8;
  for (let step = 0; step < RETURNS; step += 1) {
    await simulation.clock.advance(RETURN_MS);
    returningCallers(simulation).takeUpBroken();
  }
}

/** Engines that start from now on have the build; some start at once. */
const release = fc.tuple(build, fc.integer({ min: 0, max: 3 })).map(([name, count]) =>
  command(`release(${name}, ${count})`, (simulation) => {
    simulation.fleet.build = name;
    for (let step = 0; step < count; step += 1) simulation.fleet.add(GENERATION_SERVICE);
  }),
);

const crashWhileStreaming = fc
  .tuple(engine, fc.integer({ min: 20, max: 120 }))
  .map(([index, forMs]) =>
    command(`crashWhileStreaming(${index}, ${forMs})`, async (simulation) => {
      await sendStreams(simulation, forMs);
      simulation.fleet.crash(index);
      await takeUpStreams(simulation);
    }),
  );

/** Kills one router or more in the midst of streams, whose callers return elsewhere. */
const killWhileStreaming = fc
  .tuple(fc.nat(ROUTERS - 1), fc.integer({ min: 1, max: 2 }), fc.integer({ min: 20, max: 120 }))
  .map(([first, count, forMs]) =>
    command(`killWhileStreaming(${first}, ${count}, ${forMs})`, async (simulation) => {
      await sendStreams(simulation, forMs);
      for (let index = first; index < first + count; index += 1)
        simulation.killRouter(index, 1_000);
      await takeUpStreams(simulation);
    }),
  );

/**
 * Kills all routers in the midst of streams; meanwhile an engine ends and others start. Callers return
 * after the routers.
 */
const outageWhileStreaming = fc
  .tuple(engine, fc.integer({ min: 0, max: 2 }), fc.constantFrom(300, 6_000))
  .map(([index, started, downMs]) =>
    command(`outageWhileStreaming(${index}, ${started}, ${downMs})`, async (simulation) => {
      await sendStreams(simulation, OUTAGE_STREAMS_MS);
      for (let router = 0; router < ROUTERS; router += 1) simulation.killRouter(router, downMs);
      simulation.fleet.crash(index);
      for (let step = 0; step < started; step += 1) simulation.fleet.add(GENERATION_SERVICE);
      await simulation.clock.advance(downMs + OUTAGE_START_MS);
      await takeUpStreams(simulation);
    }),
  );

const ENGINE_BUILD_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  release,
  release,
  crashWhileStreaming,
  crashWhileStreaming,
  killWhileStreaming,
  killWhileStreaming,
  outageWhileStreaming,
];

/** Generates sequences that combine engines of several builds with every other fault. */
export const engineBuildCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_BUILD_COMMANDS], { maxCommands: maximum });
