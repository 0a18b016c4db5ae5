/** Fuzz commands on prompt parts that crash engines, beside crashes for other reasons. */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import {
  CRASHING_PART,
  GENERATION_SERVICE,
  HARMLESS_TEXT,
  bodyWithParts,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';

const COMMON_PART = 'common';
const SOUND_GAP_MS = 50;
const part = fc.constantFrom(`${CRASHING_PART}-1`, `${CRASHING_PART}-2`);
/** Enough that engines remain when a part is quarantined. */
const MINIMUM_ENGINES = 9;
const silentMs = fc.constantFrom(400, 1_200, 1_900);
const streamKind = fc.constantFrom('stream-resumable' as const, 'stream-once' as const);

/** Requests with a crashing part, no two alike, come to all routers beside sound ones. */
const crashingPart = fc
  .tuple(streamKind, part, fc.integer({ min: 6, max: 40 }), fc.constantFrom(150, 400, 900))
  .map(([kind, crashing, count, gapMs]) =>
    command(`crashingPart(${kind}, ${crashing}, ${count} each ${gapMs} ms)`, async (simulation) => {
      for (let step = 0; step < count; step += 1) {
        const text = `${step} at ${simulation.now}`;
        const body = bodyWithParts([COMMON_PART, crashing], text);
        simulation.request(step, kind, 'tenant-2', 0, body);
        for (let elapsedMs = 0; elapsedMs < gapMs; elapsedMs += SOUND_GAP_MS) {
          const sound = bodyWithParts(
            [COMMON_PART, `subject-${elapsedMs}`],
            `${text} ${elapsedMs}`,
          );
          simulation.request(step + elapsedMs, kind, 'tenant-2', 0, sound);
          await simulation.clock.advance(SOUND_GAP_MS);
        }
      }
    }),
  );

/** Several engines crash together for another reason. */
const crashTogether = fc.tuple(engine, fc.integer({ min: 1, max: 3 })).map(([first, count]) =>
  command(`crashTogether(${first}, ${count})`, (simulation) => {
    for (let index = first; index < first + count; index += 1) simulation.fleet.crash(index);
  }),
);

const CRASHING_PART_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  crashingPart,
  crashingPart,
  crashingPart,
  crashTogether,
];

/** Generates sequences that combine crashing parts with every other fault. */
export const crashingPartCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...CRASHING_PART_COMMANDS], { maxCommands: maximum });

/**
 * Streams begin at engines that then are silent for a while. Meanwhile a part that they contain
 * crashes other engines until it is quarantined.
 */
const quarantineOfBegunStreams = fc
  .tuple(streamKind, fc.constantFrom(2, 3), fc.constantFrom(0, 4, 20), silentMs)
  .map(([kind, earlier, afterMs, forMs]) =>
    command(
      `quarantineOfBegunStreams(${kind}, ${earlier}, ${afterMs}, ${forMs})`,
      async (simulation) => {
        // Streams that are completed clear the part, so that its crashes are counted anew.
        const crashing = `${CRASHING_PART}-at-${simulation.now}`;
        const EARLIER_GAP_MS = 900;
        const LATER_CRASHES = 4;
        const LATER_GAP_MS = 30;
        const RESTART_MS = 3_500;
        const STREAMS = 3;
        const FIRST_EVENT_MS = 12;
        while (simulation.fleet.generationEngines.length < MINIMUM_ENGINES)
          simulation.fleet.add(GENERATION_SERVICE);
        await sendCrashing(simulation, crashing, earlier, EARLIER_GAP_MS);
        await simulation.clock.advance(RESTART_MS);
        const first = simulation.requests.length;
        for (let index = 0; index < STREAMS; index += 1) {
          const body = bodyWithParts([`subject-${index}`, crashing], `${HARMLESS_TEXT} ${first}`);
          simulation.request(index, kind, 'tenant-2', 0, body);
        }
        await simulation.clock.advance(FIRST_EVENT_MS + afterMs);
        silenceEnginesOf(simulation, first, forMs);
        await sendCrashing(simulation, crashing, LATER_CRASHES, LATER_GAP_MS);
      },
    ),
  );

async function sendCrashing(
  simulation: GatewaySimulation,
  crashing: string,
  count: number,
  gapMs: number,
): Promise<void> {
  for (let step = 0; step < count; step += 1) {
    const text = `${step} at ${simulation.now}`;
    const body = bodyWithParts([`subject of ${text}`.replaceAll(' ', '-'), crashing], text);
    simulation.request(step, 'stream-once', 'tenant-2', 0, body);
    await simulation.clock.advance(gapMs);
  }
}

/** Silences the engines at which requests run, from the given one on. */
function silenceEnginesOf(simulation: GatewaySimulation, first: number, forMs: number): void {
  const ids = new Set(simulation.requests.slice(first).map(({ id }) => id));
  const engines = simulation.observations.runs.filter(({ requestId }) => ids.has(requestId));
  const engineIds = new Set(engines.map(({ engineId }) => engineId));
  for (const each of simulation.fleet.generationEngines) {
    if (engineIds.has(each.id)) each.silence(simulation.now + forMs);
  }
}

/** Generates sequences in which what crashes engines is part of streams that have begun. */
export const quarantinedStreamCommands: CommandSource = (maximum) => {
  const own: readonly fc.Arbitrary<GatewayCommand>[] = [
    quarantineOfBegunStreams,
    quarantineOfBegunStreams,
    quarantineOfBegunStreams,
  ];
  return fc.commands([...GATEWAY_COMMANDS, ...CRASHING_PART_COMMANDS, ...own], {
    maxCommands: maximum,
  });
};
