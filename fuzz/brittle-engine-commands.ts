/** Fuzz commands on engines that fail when they have to reject too many requests. */
import fc from 'fast-check';
import {
  GENERATION_SERVICE,
  PLAIN_SERVICE,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const service = fc.constantFrom(PLAIN_SERVICE, GENERATION_SERVICE);
const SERVICE_MS = 43;

/** Bounds the capacity of a service, makes its engines brittle and sends more than they serve. */
const overloadBrittle = fc
  .tuple(service, fc.constantFrom(3, 6), fc.constantFrom(0, 1, 4), fc.constantFrom(3, 6, 12))
  .map(([name, tolerance, queued, slots]) =>
    command(`overloadBrittle(${name}, ${tolerance}, ${queued}, ${slots})`, async (simulation) => {
      const BRITTLE_MS = 6_000;
      const GAP_MS = 2;
      simulation.fleet.setCapacity(name, { slots, queued: 4 * slots, serviceMs: SERVICE_MS });
      simulation.fleet.makeBrittle(name, { tolerance, queued }, BRITTLE_MS);
      await sendAllKinds(simulation, BRITTLE_MS, GAP_MS);
    }),
  );

/** Generates sequences that combine brittle engines with every other fault. */
export const brittleEngineCommands: CommandSource = (maximum) => {
  const own: readonly fc.Arbitrary<GatewayCommand>[] = [overloadBrittle, overloadBrittle];
  return fc.commands([...GATEWAY_COMMANDS, ...own], { maxCommands: maximum });
};
