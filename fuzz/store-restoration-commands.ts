/** Fuzz commands on a store that is restored from an older copy. */
import fc from 'fast-check';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const TRAFFIC_GAP_MS = 25;
const lostMs = fc.constantFrom(0, 300, 1_500, 4_000, 8_000);
const outageMs = fc.constantFrom(0, 100, 800, 2_500, 5_000);
const rewriteDelayMs = fc.constantFrom(0, 100, 700);

const restoreStore = fc
  .tuple(lostMs, outageMs, rewriteDelayMs)
  .map(([lost, outage, rewriteDelay]) =>
    command(`restoreStore(${lost}, ${outage}, ${rewriteDelay})`, (simulation) =>
      simulation.restoreStore({ lostMs: lost, awayMs: outage, writtenAgainMs: rewriteDelay }),
    ),
  );

/** Restores a copy that lacks the most recent changes, which are then written again. */
const restoreAfterChanges = fc
  .tuple(engine, outageMs, rewriteDelayMs, fc.constantFrom(0, 50, 300))
  .map(([leaving, outage, rewriteDelay, waitMs]) =>
    command(
      `restoreAfterChanges(${leaving}, ${outage}, ${rewriteDelay}, ${waitMs})`,
      async (simulation) => {
        const LOST_MS = 1_000;
        simulation.fleet.drain(leaving);
        simulation.toggleKey('tenant-1', 1);
        simulation.publishWeights();
        await simulation.clock.advance(waitMs);
        simulation.restoreStore({ lostMs: LOST_MS, awayMs: outage, writtenAgainMs: rewriteDelay });
      },
    ),
  );

/** Makes enough changes after the restoration to reach revisions that were already used. */
const changeAfterRestoration = fc
  .tuple(engine, fc.integer({ min: 1, max: 8 }), fc.constantFrom(0, 1, 60, 400))
  .map(([leaving, changes, gapMs]) =>
    command(
      `changeAfterRestoration(${leaving}, ${changes} each ${gapMs} ms)`,
      async (simulation) => {
        for (let change = 0; change < changes; change += 1) simulation.toggleKey('tenant-1', 1);
        simulation.restoreStore({ lostMs: 1, awayMs: 50, writtenAgainMs: 0 });
        await simulation.clock.advance(50);
        simulation.fleet.drain(leaving);
        for (let change = 0; change < changes; change += 1) {
          simulation.toggleKey('tenant-1', 1);
          await simulation.clock.advance(gapMs);
        }
      },
    ),
  );

const sendTraffic = fc
  .constantFrom(3_000, 8_000)
  .map((forMs) =>
    command(`sendTraffic(${forMs})`, (simulation) =>
      sendAllKinds(simulation, forMs, TRAFFIC_GAP_MS),
    ),
  );

const STORE_RESTORATION_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  restoreStore,
  restoreStore,
  restoreStore,
  restoreAfterChanges,
  restoreAfterChanges,
  changeAfterRestoration,
  changeAfterRestoration,
  sendTraffic,
  sendTraffic,
  sendTraffic,
];

/** Generates sequences that combine store restorations with every other fault. */
export const storeRestorationCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...STORE_RESTORATION_COMMANDS], { maxCommands: maximum });
