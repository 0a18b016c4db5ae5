/**
 * Steps of a soak in which another program writes entries that are deeply nested, have numbers that
 * are too large, or ports out of range. All are malformed.
 */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import { rawSpec } from './raw-specs.js';
import type { StepFactory } from './schedule.js';
import { MODEL, Service } from './wire.js';

const DEPTHS = [1_000, 10_000, 100_000, 400_000] as const;
const LARGE_NUMBERS = ['1e400', '9007199254740993', '1e300', '-1', '0.5'] as const;
const PORTS = ['0', '-1', '65536', '70000', '99999', '80.5', ''] as const;
const MAXIMUM_TOGETHER = 40;
/** The largest deeply nested entries, of some 800 kB, are written in smaller numbers. */
const MAXIMUM_LARGE_TOGETHER = 8;
const GAPS_MS = [0, 50, 400] as const;
/** An overwritten entry is written again with the next heartbeat. */
const OVERWRITTEN_ENTRY_MS = 2_500;

/** JSON text of a valid entry with some fields replaced by JSON texts. */
function entryText(address: string, fields: Readonly<Record<string, string>>): string {
  const texts: Record<string, string> = {
    service: JSON.stringify(Service.generation),
    address: JSON.stringify(address),
    zone: '"zone-a"',
    slots: '32',
    state: '"ready"',
    models: `[{"name":"${MODEL}","version":1}]`,
    born: String(Date.now()),
    ...fields,
  };
  return `{${Object.entries(texts)
    .map(([name, text]) => `"${name}":${text}`)
    .join(',')}}`;
}

function drawNested(random: RandomSource, address: string): string {
  const depth = randomElement(random, DEPTHS) ?? DEPTHS[0];
  const nested = '['.repeat(depth) + ']'.repeat(depth);
  const field = randomElement(random, ['zone', 'models', 'version', 'state', 'born']) ?? 'zone';
  return randomInteger(random, 6) === 0 ? nested : entryText(address, { [field]: nested });
}

function drawNumber(random: RandomSource, address: string): string {
  const number = randomElement(random, LARGE_NUMBERS) ?? LARGE_NUMBERS[0];
  const models = `[{"name":"${MODEL}","version":${number}}]`;
  const fields = [{ slots: number }, { born: number === '1e400' ? '1e300' : number }, { models }];
  return entryText(address, randomElement(random, fields) ?? { models });
}

function drawPort(random: RandomSource, address: string): string {
  const [host = ''] = address.split(':');
  const port = randomElement(random, PORTS) ?? PORTS[0];
  return entryText(address, { address: JSON.stringify(`${host}:${port}`) });
}

/** Draws entries of one class, as specs of the soak's store. */
function drawEntries(random: RandomSource): (address: string) => unknown[] {
  const draw = randomElement(random, [drawNested, drawNumber, drawPort]) ?? drawNested;
  const maximum = draw === drawNested ? MAXIMUM_LARGE_TOGETHER : MAXIMUM_TOGETHER;
  const count = randomInteger(random, 2) === 0 ? 1 : 1 + randomInteger(random, maximum);
  return (address) => Array.from({ length: count }, () => rawSpec(draw(random, address)));
}

const addEntries: StepFactory = (random) => {
  const entries = drawEntries(random);
  const gapMs = randomElement(random, GAPS_MS) ?? 0;
  return {
    name: `another program adds odd entries, every ${gapMs} ms`,
    run: async (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      for (const spec of engine ? entries(engine.proxy.address) : []) {
        await deployment.writeMalformedEntry(spec);
        await new Promise((resolve) => setTimeout(resolve, gapMs));
      }
    },
  };
};

const overwriteEntry: StepFactory = (random) => {
  const entries = drawEntries(random);
  return {
    name: "another program overwrites an engine's entry with odd ones",
    run: async (deployment) => {
      const engine = randomElement(random, deployment.fleet.running);
      if (!engine) return;
      deployment.fleet.recordFault(OVERWRITTEN_ENTRY_MS);
      for (const spec of entries(engine.proxy.address))
        await deployment.writeMalformedEntry(spec, engine.name);
    },
  };
};

/** Listed several times, so that most runs have several of them. */
export const ODD_ENTRY_STEPS: readonly StepFactory[] = [
  addEntries,
  addEntries,
  addEntries,
  overwriteEntry,
  overwriteEntry,
  overwriteEntry,
];
