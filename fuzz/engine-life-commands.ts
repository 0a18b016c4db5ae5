/** Commands of the fuzz on the lives of engines: restarts under one name, late orders, odd entries. */
import fc from 'fast-check';
import { MalformedEntry } from '../src/lab/gateway-simulation/malformed-entry.js';
import { OrderFault, type EngineRestart } from '../src/lab/gateway-simulation/simulated-fleet.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

/** How an engine starts again: at once or after a while, behind a cut, with its entry late or its load lost. */
const rebirth: fc.Arbitrary<EngineRestart> = fc.record({
  downMs: fc.constantFrom(1, 40, 1_000),
  cutMs: fc.constantFrom(0, 0, 700, 2_500),
  entryDelayMs: fc.constantFrom(0, 0, 300, 2_500),
  losesLoad: fc.boolean(),
  clockStepMs: fc.constantFrom(0, 0, 0, 4_000),
});

const restartEngine = fc
  .tuple(engine, rebirth)
  .map(([index, how]) =>
    command(`restartEngine(${index}, ${JSON.stringify(how)})`, (world) =>
      world.fleet.restart(index, how),
    ),
  );

/** The same engine starts again and again, under load. */
const restartInSeries = fc
  .tuple(engine, fc.array(rebirth, { minLength: 2, maxLength: 4 }), fc.constantFrom(30, 400, 1_800))
  .map(([index, series, gapMs]) =>
    command(`restartInSeries(${index}, ${JSON.stringify(series)}, ${gapMs})`, async (world) => {
      for (const how of series) {
        world.request(index, 'stream-resumable', 'tenant-1', 0);
        world.request(index + 1, 'plain-unsafe', 'tenant-2', 0);
        world.fleet.restart(index, how);
        await world.clock.advance(gapMs);
      }
    }),
  );

/** Engines start again while they are brought to new weights: before an order, during a load, after it. */
const restartDuringLoad = fc
  .tuple(engine, rebirth, fc.constantFrom(20, 250, 600, 1_200, 3_000))
  .map(([index, how, afterMs]) =>
    command(`restartDuringLoad(${index}, ${JSON.stringify(how)}, ${afterMs})`, async (world) => {
      world.nameWeights();
      await world.clock.advance(afterMs);
      for (const each of [index, index + 1]) world.fleet.restart(each, how);
    }),
  );

const restartWhileDraining = fc
  .tuple(engine, rebirth, fc.constantFrom(5, 500, 4_000))
  .map(([index, how, afterMs]) =>
    command(`restartWhileDraining(${index}, ${JSON.stringify(how)}, ${afterMs})`, async (world) => {
      world.fleet.drain(index);
      await world.clock.advance(afterMs);
      world.fleet.restart(index, how);
    }),
  );

/** Engines that crash from now on start again under their name, or give their place to another. */
const restartUnderName = fc.boolean().map((isUnderName) =>
  command(`restartUnderName(${isUnderName})`, (world) => {
    world.fleet.restartsUnderName = isUnderName;
  }),
);

/** Orders get no answer; the late ones may meet a later life of their engine. */
const faultOrders = fc
  .array(fc.constantFrom(...Object.values(OrderFault)), { minLength: 1, maxLength: 4 })
  .map((faults) =>
    command(`faultOrders(${faults.join(',')})`, (world) => {
      world.fleet.orderFaults.push(...faults);
    }),
  );

const oddEntry = fc.constantFrom(...Object.values(MalformedEntry));

/** An odd entry appears, and requests come that its engine could run if it were one. */
const addOddEntry = oddEntry.map((odd) =>
  command(`addOddEntry(${odd})`, async (world) => {
    const SEEN_MS = 400;
    const REQUESTS = 12;
    world.fleet.addOddEntry(odd);
    await world.clock.advance(SEEN_MS);
    for (let turn = 0; turn < REQUESTS; turn += 1) {
      world.request(turn, 'stream-resumable', 'tenant-2', 0);
      await world.clock.advance(10);
    }
  }),
);

const overwriteEntry = fc
  .tuple(engine, oddEntry)
  .map(([index, odd]) =>
    command(`overwriteEntry(${index}, ${odd})`, (world) => world.fleet.overwriteEntry(index, odd)),
  );

const ENGINE_LIFE_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  restartEngine,
  restartEngine,
  restartInSeries,
  restartDuringLoad,
  restartDuringLoad,
  restartWhileDraining,
  restartUnderName,
  faultOrders,
  addOddEntry,
  overwriteEntry,
];

/** Sequences of commands in which restarts and odd entries meet every other fault. */
export const engineLifeCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_LIFE_COMMANDS], { maxCommands: maximum });
