/** Fuzz commands on popular reads that are in progress as engines fail together. */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import { PLAIN_SERVICE } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS } from './gateway-commands.js';

const ENGINES = 4;
const READ_GAP_MS = 20;
/** Engines are back, and a read can be tried, some time before. */
const READ_AFTER_MS = 6_000;
const SLOTS = { slots: 64, queued: 64 } as const;
const serviceMs = fc.constantFrom(60, 200, 600);
const apartMs = fc.constantFrom(0, 0, 40, 160, 320);

/** Sends one read again and again, to all routers in turn. */
async function readFor(simulation: GatewaySimulation, body: string, forMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += READ_GAP_MS) {
    simulation.request(elapsedMs / READ_GAP_MS, 'plain-safe', 'tenant-2', 0, body);
    await simulation.clock.advance(READ_GAP_MS);
  }
}

function runningPlainEngines({ fleet }: GatewaySimulation): number[] {
  return [...Array(fleet.size).keys()].filter((index) => {
    const engine = fleet.engine(index);
    return engine.isRunning && engine.service === PLAIN_SERVICE;
  });
}

/** All plain engines crash, at one moment or one after the other, while a popular read runs at each. */
const crashDuringReads = fc
  .tuple(serviceMs, apartMs, fc.integer({ min: 1, max: 2 }))
  .map(([duration, apart, times]) =>
    command(
      `crashDuringReads(${duration}, ${apart} ms apart, ${times} times)`,
      async (simulation) => {
        const body = `popular read ${simulation.now}`;
        while (runningPlainEngines(simulation).length < ENGINES)
          simulation.fleet.add(PLAIN_SERVICE);
        simulation.fleet.setCapacity(PLAIN_SERVICE, { ...SLOTS, serviceMs: duration });
        for (let time = 0; time < times; time += 1) {
          await readFor(simulation, body, duration + READ_GAP_MS);
          for (const index of runningPlainEngines(simulation)) {
            simulation.fleet.crash(index);
            await readFor(simulation, body, apart);
          }
          await readFor(simulation, body, READ_AFTER_MS);
        }
        simulation.fleet.capacities.delete(PLAIN_SERVICE);
        for (const index of runningPlainEngines(simulation))
          simulation.engine(index).capacity = undefined;
      },
    ),
  );

const CRASHES_TOGETHER_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  crashDuringReads,
  crashDuringReads,
];

/** Generates sequences that combine engines that fail together with every other fault. */
export const crashesTogetherCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...CRASHES_TOGETHER_COMMANDS], { maxCommands: maximum });
