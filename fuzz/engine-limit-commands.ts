/** Commands of the fuzz on limits: engines that take a limited number of requests a second, amid every other fault. */
import fc from 'fast-check';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const PRESS_GAP_MS = 25;
const rate = fc.constantFrom(0, 0.5, 1.2, 3, 10);

/** Some engines, or all of them, name a limit. */
const nameLimit = fc
  .tuple(engine, fc.constantFrom(1, 2, 5), rate)
  .map(([first, count, perSecond]) =>
    command(`nameLimit(${first}, ${count}, ${perSecond})`, (world) => {
      for (let index = first; index < first + count; index += 1) {
        world.limitEngine(index, perSecond);
      }
    }),
  );

const liftLimits = fc.constant(
  command('liftLimits()', (world) => {
    const MOST_ENGINES = 10;
    for (let index = 0; index < MOST_ENGINES; index += 1) world.limitEngine(index, undefined);
  }),
);

/** Requests of all kinds through all routers while limits hold, and other faults with them. */
const press = fc
  .constantFrom(3_000, 8_000)
  .map((forMs) => command(`press(${forMs})`, (world) => sendAllKinds(world, forMs, PRESS_GAP_MS)));

const ENGINE_LIMIT_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  nameLimit,
  nameLimit,
  liftLimits,
  press,
  press,
  press,
];

/** Sequences of commands in which limits meet every other fault. */
export const engineLimitCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_LIMIT_COMMANDS], { maxCommands: maximum });
