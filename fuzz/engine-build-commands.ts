/** Fuzz commands on engines of several builds and on callers that take up their streams again. */
import fc from 'fast-check';
import { GENERATION_SERVICE, ROUTERS } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { BUILD_RECORD_COMMANDS, LASTING_BUILD_COMMANDS } from './build-record-commands.js';
import {
  BUILDS,
  OUTAGE_START_MS,
  killAllRouters,
  sendStreams,
  takeUpStreams,
} from './build-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const OUTAGE_STREAMS_MS = 60;
const build = fc.constantFrom(...BUILDS);

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
      killAllRouters(simulation, downMs);
      simulation.fleet.crash(index);
      for (let step = 0; step < started; step += 1) simulation.fleet.add(GENERATION_SERVICE);
      await simulation.clock.advance(downMs + OUTAGE_START_MS);
      await takeUpStreams(simulation);
    }),
  );

/** Commands on engines of several builds; repeated ones are drawn more often. */
export const ENGINE_BUILD_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
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

const FOCUSED_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  ...ENGINE_BUILD_COMMANDS,
  ...BUILD_RECORD_COMMANDS,
];
/**
 * After a second build has come, nothing is judged by a sole build for a minute, so that long sequences
 * test little more than short ones.
 */
const MAXIMUM_FOCUSED_COMMANDS = 6;

/** Generates sequences of builds, faults of the store and kills of all routers, without other faults. */
export const buildRecordCommands: CommandSource = (maximum) =>
  fc.commands([...FOCUSED_COMMANDS], {
    maxCommands: Math.min(maximum, MAXIMUM_FOCUSED_COMMANDS),
  });

/** Generates sequences that also outlive the time for which a build is kept in the record. */
export const lastingBuildCommands: CommandSource = (maximum) =>
  fc.commands([...FOCUSED_COMMANDS, ...LASTING_BUILD_COMMANDS, ...LASTING_BUILD_COMMANDS], {
    maxCommands: Math.min(maximum, 2 * MAXIMUM_FOCUSED_COMMANDS),
  });
