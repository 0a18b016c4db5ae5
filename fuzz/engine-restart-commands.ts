/** Fuzz commands on engine restarts, late load commands and malformed store entries. */
import fc from 'fast-check';
import { MalformedEntry } from '../src/lab/gateway-simulation/malformed-entry.js';
import {
  LoadCommandFault,
  type EngineRestart,
} from '../src/lab/gateway-simulation/simulated-fleet.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

/**
 * Options of an engine's restart: downtime, network partition, delayed entry, lost load and clock
 * step.
 */
const engineRestart: fc.Arbitrary<EngineRestart> = fc.record({
  downMs: fc.constantFrom(1, 40, 1_000),
  cutMs: fc.constantFrom(0, 0, 700, 2_500),
  entryDelayMs: fc.constantFrom(0, 0, 300, 2_500),
  losesLoad: fc.boolean(),
  clockStepMs: fc.constantFrom(0, 0, 0, 4_000),
});

const restartEngine = fc
  .tuple(engine, engineRestart)
  .map(([index, options]) =>
    command(`restartEngine(${index}, ${JSON.stringify(options)})`, (simulation) =>
      simulation.fleet.restart(index, options),
    ),
  );

/** Restarts the same engine several times under load. */
const restartInSeries = fc
  .tuple(
    engine,
    fc.array(engineRestart, { minLength: 2, maxLength: 4 }),
    fc.constantFrom(30, 400, 1_800),
  )
  .map(([index, series, gapMs]) =>
    command(
      `restartInSeries(${index}, ${JSON.stringify(series)}, ${gapMs})`,
      async (simulation) => {
        for (const options of series) {
          simulation.request(index, 'stream-resumable', 'tenant-1', 0);
          simulation.request(index + 1, 'plain-unsafe', 'tenant-2', 0);
          simulation.fleet.restart(index, options);
          await simulation.clock.advance(gapMs);
        }
      },
    ),
  );

/** Restarts engines during a rollout of weights: before, during or after a load. */
const restartDuringLoad = fc
  .tuple(engine, engineRestart, fc.constantFrom(20, 250, 600, 1_200, 3_000))
  .map(([index, options, afterMs]) =>
    command(
      `restartDuringLoad(${index}, ${JSON.stringify(options)}, ${afterMs})`,
      async (simulation) => {
        simulation.publishWeights();
        await simulation.clock.advance(afterMs);
        for (const each of [index, index + 1]) simulation.fleet.restart(each, options);
      },
    ),
  );

const restartWhileDraining = fc
  .tuple(engine, engineRestart, fc.constantFrom(5, 500, 4_000))
  .map(([index, options, afterMs]) =>
    command(
      `restartWhileDraining(${index}, ${JSON.stringify(options)}, ${afterMs})`,
      async (simulation) => {
        simulation.fleet.drain(index);
        await simulation.clock.advance(afterMs);
        simulation.fleet.restart(index, options);
      },
    ),
  );

/** Sets whether engines that crash later restart under their name or are replaced. */
const restartUnderName = fc.boolean().map((isUnderName) =>
  command(`restartUnderName(${isUnderName})`, (simulation) => {
    simulation.fleet.restartsUnderName = isUnderName;
  }),
);

/** Load commands get no response; delayed ones may arrive at a later incarnation of the engine. */
const injectLoadCommandFaults = fc
  .array(fc.constantFrom(...Object.values(LoadCommandFault)), { minLength: 1, maxLength: 4 })
  .map((faults) =>
    command(`injectLoadCommandFaults(${faults.join(',')})`, (simulation) => {
      simulation.fleet.loadCommandFaults.push(...faults);
    }),
  );

const malformedEntry = fc.constantFrom(...Object.values(MalformedEntry));
/** An added entry belongs to no engine, so its start time can't be later than the engine's. */
const addedMalformedEntry = fc.constantFrom(
  ...Object.values(MalformedEntry).filter(
    (fault) => fault !== MalformedEntry.UnknownServiceLaterStart,
  ),
);

/** Adds a malformed entry, then sends requests that would match it if it were valid. */
const addMalformedEntry = addedMalformedEntry.map((fault) =>
  command(`addMalformedEntry(${fault})`, async (simulation) => {
    const PROPAGATION_MS = 400;
    const REQUESTS = 12;
    simulation.fleet.addMalformedEntry(fault);
    await simulation.clock.advance(PROPAGATION_MS);
    for (let step = 0; step < REQUESTS; step += 1) {
      simulation.request(step, 'stream-resumable', 'tenant-2', 0);
      await simulation.clock.advance(10);
    }
  }),
);

const overwriteEntry = fc
  .tuple(engine, malformedEntry)
  .map(([index, fault]) =>
    command(`overwriteEntry(${index}, ${fault})`, (simulation) =>
      simulation.fleet.overwriteEntry(index, fault),
    ),
  );

const ENGINE_RESTART_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  restartEngine,
  restartEngine,
  restartInSeries,
  restartDuringLoad,
  restartDuringLoad,
  restartWhileDraining,
  restartUnderName,
  injectLoadCommandFaults,
  addMalformedEntry,
  overwriteEntry,
];

/** Generates sequences that combine restarts and malformed entries with every other fault. */
export const engineRestartCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_RESTART_COMMANDS], { maxCommands: maximum });
