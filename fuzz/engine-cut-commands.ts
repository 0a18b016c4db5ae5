/** Fuzz commands on routers that are cut off from all engines. */
import fc from 'fast-check';
import { EngineCut } from '../src/lab/gateway-simulation/engine-links.js';
import { ROUTERS, routerName } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const TRAFFIC_GAP_MS = 15;
const router = fc.nat(ROUTERS - 1);
const cut = fc.constantFrom(...Object.values(EngineCut));
const durationMs = fc.constantFrom(200, 1_200, 5_000, 12_000);

/** Cuts off some routers, or all. */
const cutRouters = fc
  .tuple(router, fc.integer({ min: 1, max: ROUTERS }), cut, durationMs)
  .map(([first, count, mode, forMs]) =>
    command(`cutRouters(${first}, ${count}, ${mode}, ${forMs})`, (simulation) => {
      for (let index = first; index < first + count; index += 1)
        simulation.engineLinks.cut(routerName(index), mode, forMs);
    }),
  );

/** Kills, freezes or partitions another router while one is cut off and may depend on it. */
const disturbForwarder = fc
  .tuple(router, cut, fc.constantFrom('kill', 'freeze', 'isolate', 'stop'), durationMs)
  .map(([index, mode, disturbance, forMs]) =>
    command(`disturbForwarder(${index}, ${mode}, ${disturbance}, ${forMs})`, async (simulation) => {
      const CUT_MS = 9_000;
      simulation.engineLinks.cut(routerName(index), mode, CUT_MS);
      await sendAllKinds(simulation, 2_000, TRAFFIC_GAP_MS);
      const other = index + 1;
      if (disturbance === 'kill') simulation.killRouter(other, forMs);
      if (disturbance === 'freeze') simulation.freezeRouter(other, forMs);
      if (disturbance === 'isolate') simulation.isolateRouter(other, forMs);
      if (disturbance === 'stop') simulation.stopRouter(other, forMs);
      await sendAllKinds(simulation, 3_000, TRAFFIC_GAP_MS);
    }),
  );

const sendTraffic = fc
  .constantFrom(3_000, 8_000)
  .map((forMs) =>
    command(`sendTraffic(${forMs})`, (simulation) =>
      sendAllKinds(simulation, forMs, TRAFFIC_GAP_MS),
    ),
  );

/** Commands of this file, each as often as it is drawn. */
export const ENGINE_CUT_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  cutRouters,
  cutRouters,
  cutRouters,
  disturbForwarder,
  disturbForwarder,
  sendTraffic,
  sendTraffic,
  sendTraffic,
];

/** Generates sequences that combine cuts from the engines with every other fault. */
export const engineCutCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_CUT_COMMANDS], { maxCommands: maximum });
