/** Fuzz commands on engine notices: shutdowns that the store misses, and requested backoffs. */
import fc from 'fast-check';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const announceShutdown = engine.map((index) =>
  command(`announceShutdown(${index})`, (simulation) => simulation.fleet.announceShutdown(index)),
);

/** An engine starts its shutdown during a store outage, under continuous traffic. */
const announceShutdownWithoutStore = fc
  .tuple(engine, fc.constantFrom(4_000, 9_000), fc.boolean())
  .map(([index, outageMs, entriesExpire]) =>
    command(
      `announceShutdownWithoutStore(${index}, ${outageMs}, ${entriesExpire})`,
      async (simulation) => {
        const GAP_MS = 60;
        const REWRITE_DELAY_MS = 1_200;
        if (entriesExpire) simulation.expireEntries(outageMs, REWRITE_DELAY_MS);
        else simulation.stopStore(outageMs);
        simulation.fleet.announceShutdown(index);
        for (let elapsedMs = 0; elapsedMs < outageMs; elapsedMs += GAP_MS) {
          const kind = elapsedMs % (2 * GAP_MS) === 0 ? 'plain-safe' : 'stream-resumable';
          simulation.request(elapsedMs / GAP_MS, kind, 'tenant-2', 0);
          await simulation.clock.advance(GAP_MS);
        }
      },
    ),
  );

/** Some engines, or all, reject requests as busy, with or without a backoff. */
const requestBackoff = fc
  .tuple(engine, fc.constantFrom(1, 2, 5), fc.constantFrom(undefined, 400, 1_500, 3_000, 12_000))
  .map(([first, count, backoffMs]) =>
    command(`requestBackoff(${first}, ${count}, ${backoffMs})`, (simulation) => {
      for (let index = first; index < first + count; index += 1) {
        simulation.engine(index).mode = EngineMode.Busy;
        simulation.engine(index).backoffMs = backoffMs;
      }
    }),
  );

const recoverEngines = fc.constant(
  command('recoverEngines()', (simulation) => {
    const MAXIMUM_ENGINES = 10;
    for (let index = 0; index < MAXIMUM_ENGINES; index += 1) {
      simulation.engine(index).mode = EngineMode.Healthy;
    }
  }),
);

/** An engine's entry expires and is written again while a backoff that it requested lasts. */
const expireEntryDuringBackoff = engine.map((index) =>
  command(`expireEntryDuringBackoff(${index})`, async (simulation) => {
    const GAP_MS = 25;
    const REQUESTS = 160;
    const OUTAGE_MS = 400;
    const REWRITE_DELAY_MS = 900;
    simulation.engine(index).mode = EngineMode.Busy;
    simulation.engine(index).backoffMs = 8_000;
    for (let step = 0; step < REQUESTS; step += 1) {
      if (step === REQUESTS / 8) simulation.expireEntries(OUTAGE_MS, REWRITE_DELAY_MS);
      simulation.request(step, step % 2 === 0 ? 'plain-safe' : 'stream-once', 'tenant-1', 0);
      await simulation.clock.advance(GAP_MS);
    }
  }),
);

const ENGINE_NOTICE_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  announceShutdown,
  announceShutdown,
  announceShutdownWithoutStore,
  requestBackoff,
  requestBackoff,
  recoverEngines,
  expireEntryDuringBackoff,
];

/** Generates sequences that combine engine notices with every other fault. */
export const engineNoticeCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...ENGINE_NOTICE_COMMANDS], { maxCommands: maximum });
