/** Fuzz commands on engines whose responses have neither a length nor chunks. */
import fc from 'fast-check';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import { BodyFraming } from '../src/protocol/inference/port.js';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import type { GatewayCommand } from './gateway-command.js';
import { command } from './gateway-command.js';
import { type CommandSource, engine } from './gateway-commands.js';
import { ENGINE_CUT_COMMANDS } from './engine-cut-commands.js';
import { GATEWAY_COMMANDS } from './gateway-commands.js';

const TRAFFIC_GAP_MS = 12;

const setFraming = fc
  .tuple(engine, fc.constantFrom(BodyFraming.Connection, BodyFraming.Chunks))
  .map(([index, framing]) =>
    command(`setFraming(${index}, ${framing})`, (simulation) => {
      simulation.engine(index).framing = framing;
    }),
  );

/** Crashes engines, or lets them break off responses, while they send responses without a length. */
const breakResponses = fc
  .tuple(engine, fc.constantFrom('crash', 'truncate'), fc.integer({ min: 10, max: 60 }))
  .map(([index, fault, atMs]) =>
    command(`breakResponses(${index}, ${fault}, ${atMs})`, async (simulation) => {
      const concerned = simulation.engine(index);
      concerned.framing = BodyFraming.Connection;
      if (fault === 'truncate') concerned.mode = EngineMode.Truncating;
      await sendAllKinds(simulation, 10 * atMs, TRAFFIC_GAP_MS);
      if (fault === 'crash') simulation.fleet.crash(index);
      await sendAllKinds(simulation, 500, TRAFFIC_GAP_MS);
      concerned.mode = EngineMode.Healthy;
    }),
  );

const RESPONSE_FRAMING_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  setFraming,
  setFraming,
  breakResponses,
  breakResponses,
  breakResponses,
];

/** Generates sequences that combine responses without a length with every other fault. */
export const responseFramingCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_CUT_COMMANDS, ...RESPONSE_FRAMING_COMMANDS], {
    maxCommands: maximum,
  });
