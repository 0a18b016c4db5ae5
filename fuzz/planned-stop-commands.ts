/**
 * Fuzz commands on planned stops of routers that are short of processor time, under callers that keep
 * sending streams that last for seconds.
 */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import type { Throttle } from '../src/lab/gateway-simulation/router-stops.js';
import {
  REQUEST_KINDS,
  type SlowStream,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const TENANT = 'tenant-2';
const GRACE_MS = 7_500;
/** Exceeds the length of each stream. */
const LONG_TIMEOUT_MS = 12_000;
/** Time after which a shorter time-out no longer applies to any request. */
const TIMEOUT_CHANGE_MS = 6_000;
/** Exceeds the time from the start of the callers to the end of the process. */
const CALLERS_MS = 9_000;

const router = fc.nat(2);
const throttle = fc.constantFrom<Throttle | undefined>(
  undefined,
  { pauseMs: 60, periodMs: 160 },
  { pauseMs: 100, periodMs: 200 },
  { pauseMs: 300, periodMs: 400 },
);
/** Streams have five events. */
const slowStream = fc.record<SlowStream>({
  eventIntervalMs: fc.constantFrom(400, 700, 1_000, 1_400),
  budgetMs: fc.constantFrom(6_000, LONG_TIMEOUT_MS),
});
const gapMs = fc.constantFrom(60, 150);
const leadMs = fc.constantFrom(0, 500, 2_000);
/** How late a router handles its signal. */
const noticeMs = fc.constantFrom(0, 0, 400, 900, 1_500);

/** Gives all routes time-outs that no stream reaches, and waits until they apply everywhere. */
async function lengthenTimeouts({ configuration, clock }: GatewaySimulation): Promise<void> {
  for (const kind of REQUEST_KINDS) configuration.changeRoute(kind, LONG_TIMEOUT_MS);
  await clock.advance(TIMEOUT_CHANGE_MS);
}

const secondStopMs = fc.option(fc.constantFrom(0, 800, 4_000));

/** A router stops, as another one may soon after, while callers keep sending to both. */
const stopUnderCallers = fc
  .tuple(router, throttle, leadMs, noticeMs, slowStream, gapMs, secondStopMs)
  .map(([index, shortage, lead, notice, stream, gap, secondMs]) =>
    command(
      `stopUnderCallers(${index}, ${JSON.stringify([shortage, lead, notice, stream, gap, secondMs])})`,
      async (simulation) => {
        await lengthenTimeouts(simulation);
        if (shortage) simulation.throttleRouter(index, shortage, lead + CALLERS_MS);
        await sendTo(simulation, index, stream, lead, gap);
        simulation.stopRouter(index, GRACE_MS, notice);
        const firstMs = secondMs ?? CALLERS_MS;
        await sendTo(simulation, index, stream, firstMs, gap);
        if (secondMs === null) return;
        simulation.stopRouter(index, GRACE_MS);
        simulation.stopRouter(index + 1, GRACE_MS);
        await sendTo(simulation, index, stream, CALLERS_MS, gap);
      },
    ),
  );

/**
 * Sends requests of all kinds to a router and some to the next one. Half of the streams are slow, so that
 * the speed that routers learn of engines does not show how long a stream will last.
 */
async function sendTo(
  simulation: GatewaySimulation,
  index: number,
  stream: SlowStream,
  forMs: number,
  everyMs: number,
): Promise<void> {
  for (let elapsedMs = 0, count = 0; elapsedMs < forMs; elapsedMs += everyMs, count += 1) {
    const kind = REQUEST_KINDS[count % REQUEST_KINDS.length] ?? 'stream-once';
    const isSlow = count % (2 * REQUEST_KINDS.length) < REQUEST_KINDS.length;
    const own = isSlow && kind.startsWith('stream') ? stream : undefined;
    const target = count % 5 === 0 ? index + 1 : index;
    simulation.request(target, kind, TENANT, 0, undefined, undefined, own);
    await simulation.clock.advance(everyMs);
  }
}

const PLANNED_STOP_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  stopUnderCallers,
  stopUnderCallers,
  stopUnderCallers,
];

/** Generates sequences that combine planned stops with every other fault. */
export const plannedStopCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...PLANNED_STOP_COMMANDS], { maxCommands: maximum });
