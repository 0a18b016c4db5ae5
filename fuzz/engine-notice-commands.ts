/** Commands of the fuzz on what engines say of themselves: engines that leave unheard, and that ask for pauses. */
import fc from 'fast-check';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const leaveEngine = engine.map((index) =>
  command(`leaveEngine(${index})`, (world) => world.fleet.leave(index)),
);

/** Engines leave while the store is out, and requests come all the while. */
const leaveWithoutStore = fc
  .tuple(engine, fc.constantFrom(4_000, 9_000), fc.boolean())
  .map(([index, outMs, lapses]) =>
    command(`leaveWithoutStore(${index}, ${outMs}, ${lapses})`, async (world) => {
      const GAP_MS = 60;
      const REENTER_MS = 1_200;
      if (lapses) world.lapseEntries(outMs, REENTER_MS);
      else world.stopStore(outMs);
      world.fleet.leave(index);
      for (let spentMs = 0; spentMs < outMs; spentMs += GAP_MS) {
        const kind = spentMs % (2 * GAP_MS) === 0 ? 'plain-safe' : 'stream-resumable';
        world.request(spentMs / GAP_MS, kind, 'tenant-2', 0);
        await world.clock.advance(GAP_MS);
      }
    }),
  );

/** Some engines, or all of them, turn requests away and ask for a pause; their refusals go on as before if not. */
const askForPause = fc
  .tuple(engine, fc.constantFrom(1, 2, 5), fc.constantFrom(undefined, 400, 1_500, 3_000, 12_000))
  .map(([first, count, backoffMs]) =>
    command(`askForPause(${first}, ${count}, ${backoffMs})`, (world) => {
      for (let index = first; index < first + count; index += 1) {
        world.engine(index).mode = EngineMode.Busy;
        world.engine(index).backoffMs = backoffMs;
      }
    }),
  );

const recoverEngines = fc.constant(
  command('recoverEngines()', (world) => {
    const MOST_ENGINES = 10;
    for (let index = 0; index < MOST_ENGINES; index += 1) {
      world.engine(index).mode = EngineMode.Sound;
    }
  }),
);

/** An engine asks for a pause, and its entry lapses and comes back before the pause is over. */
const lapseInPause = engine.map((index) =>
  command(`lapseInPause(${index})`, async (world) => {
    const GAP_MS = 25;
    const REQUESTS = 160;
    const OUT_MS = 400;
    const REENTER_MS = 900;
    world.engine(index).mode = EngineMode.Busy;
    world.engine(index).backoffMs = 8_000;
    for (let turn = 0; turn < REQUESTS; turn += 1) {
      if (turn === REQUESTS / 8) world.lapseEntries(OUT_MS, REENTER_MS);
      world.request(turn, turn % 2 === 0 ? 'plain-safe' : 'stream-once', 'tenant-1', 0);
      await world.clock.advance(GAP_MS);
    }
  }),
);

const ENGINE_NOTICE_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  leaveEngine,
  leaveEngine,
  leaveWithoutStore,
  askForPause,
  askForPause,
  recoverEngines,
  lapseInPause,
];

/** Sequences of commands in which engines' own words meet every other fault. */
export const engineNoticeCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_NOTICE_COMMANDS], { maxCommands: maximum });
