/** Fuzz commands that make requests wait in routers: engines with few slots, and bursts. */
import fc from 'fast-check';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const BURST_GAP_MS = 2;
const CALLERS_LEAVING = 20;

/** Sets the capacity of some engines, or of all. */
const setCapacity = fc
  .tuple(engine, fc.constantFrom(1, 3, 10), fc.constantFrom(1, 4, 8), fc.constantFrom(0, 4, 24))
  .map(([first, count, slots, queued]) =>
    command(`setCapacity(${first}, ${count}, ${slots}, ${queued})`, (simulation) => {
      const SERVICE_MS = 40;
      for (let index = first; index < first + count; index += 1) {
        simulation.engine(index).capacity = { slots, queued, serviceMs: SERVICE_MS };
      }
    }),
  );

/** Sends more requests of all kinds than engines with few slots serve. */
const sendBurst = fc
  .constantFrom(200, 1_000)
  .map((forMs) =>
    command(`sendBurst(${forMs})`, (simulation) => sendAllKinds(simulation, forMs, BURST_GAP_MS)),
  );

/** Closes the connections of the last callers, some of which wait in a router. */
const disconnectCallers = fc.constant(
  command('disconnectCallers()', (simulation) => {
    for (let back = 0; back < CALLERS_LEAVING; back += 1) simulation.disconnectCaller(back);
  }),
);

const REQUEST_QUEUE_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  setCapacity,
  setCapacity,
  sendBurst,
  sendBurst,
  sendBurst,
  disconnectCallers,
];

/** Generates sequences that combine full engines with every other fault. */
export const requestQueueCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...REQUEST_QUEUE_COMMANDS], { maxCommands: maximum });
