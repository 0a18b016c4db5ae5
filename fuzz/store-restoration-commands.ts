/** Commands of the fuzz on a store that comes back from older copies of itself, amid every other fault. */
import fc from 'fast-check';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const TRAFFIC_GAP_MS = 25;
const lostMs = fc.constantFrom(0, 300, 1_500, 4_000, 8_000);
const awayMs = fc.constantFrom(0, 100, 800, 2_500, 5_000);
const writtenAgainMs = fc.constantFrom(0, 100, 700);

const restoreStore = fc
  .tuple(lostMs, awayMs, writtenAgainMs)
  .map(([lost, away, again]) =>
    command(`restoreStore(${lost}, ${away}, ${again})`, (world) =>
      world.restoreStore({ lostMs: lost, awayMs: away, writtenAgainMs: again }),
    ),
  );

/** What has just been acknowledged is lost with the copy, and written again. */
const restoreAfterChanges = fc
  .tuple(engine, awayMs, writtenAgainMs, fc.constantFrom(0, 50, 300))
  .map(([leaving, away, again, waitMs]) =>
    command(`restoreAfterChanges(${leaving}, ${away}, ${again}, ${waitMs})`, async (world) => {
      const LOST_MS = 1_000;
      world.fleet.drain(leaving);
      world.toggleKey('tenant-1', 1);
      world.nameWeights();
      await world.clock.advance(waitMs);
      world.restoreStore({ lostMs: LOST_MS, awayMs: away, writtenAgainMs: again });
    }),
  );

/** As many changes follow on the store's return as bring it to about the revisions that it had given out before. */
const changeAfterRestoration = fc
  .tuple(engine, fc.integer({ min: 1, max: 8 }), fc.constantFrom(0, 1, 60, 400))
  .map(([leaving, changes, gapMs]) =>
    command(`changeAfterRestoration(${leaving}, ${changes} each ${gapMs} ms)`, async (world) => {
      for (let change = 0; change < changes; change += 1) world.toggleKey('tenant-1', 1);
      world.restoreStore({ lostMs: 1, awayMs: 50, writtenAgainMs: 0 });
      await world.clock.advance(50);
      world.fleet.drain(leaving);
      for (let change = 0; change < changes; change += 1) {
        world.toggleKey('tenant-1', 1);
        await world.clock.advance(gapMs);
      }
    }),
  );

const press = fc
  .constantFrom(3_000, 8_000)
  .map((forMs) =>
    command(`press(${forMs})`, (world) => sendAllKinds(world, forMs, TRAFFIC_GAP_MS)),
  );

const STORE_RESTORATION_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  restoreStore,
  restoreStore,
  restoreStore,
  restoreAfterChanges,
  restoreAfterChanges,
  changeAfterRestoration,
  changeAfterRestoration,
  press,
  press,
  press,
];

/** Sequences of commands in which restorations of the store meet every other fault. */
export const storeRestorationCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...STORE_RESTORATION_COMMANDS], { maxCommands: maximum });
