/** Fuzz commands on engines that announce a limit of requests per second. */
import fc from 'fast-check';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const TRAFFIC_GAP_MS = 25;
const rate = fc.constantFrom(0, 0.5, 1.2, 3, 10);

/** Sets the limit of some engines, or of all. */
const setLimit = fc.tuple(engine, fc.constantFrom(1, 2, 5), rate).map(([first, count, perSecond]) =>
  command(`setLimit(${first}, ${count}, ${perSecond})`, (simulation) => {
    for (let index = first; index < first + count; index += 1) {
      simulation.limitEngine(index, perSecond);
    }
  }),
);

const removeLimits = fc.constant(
  command('removeLimits()', (simulation) => {
    const MAXIMUM_ENGINES = 10;
    for (let index = 0; index < MAXIMUM_ENGINES; index += 1)
      simulation.limitEngine(index, undefined);
  }),
);

/** Sends requests of all kinds through all routers. */
const sendTraffic = fc
  .constantFrom(3_000, 8_000)
  .map((forMs) =>
    command(`sendTraffic(${forMs})`, (simulation) =>
      sendAllKinds(simulation, forMs, TRAFFIC_GAP_MS),
    ),
  );

const ENGINE_LIMIT_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  setLimit,
  setLimit,
  removeLimits,
  sendTraffic,
  sendTraffic,
  sendTraffic,
];

/** Generates sequences that combine engine limits with every other fault. */
export const engineLimitCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_LIMIT_COMMANDS], { maxCommands: maximum });
