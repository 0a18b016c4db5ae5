/** Entries of engines as another writer may leave them in the soak's store. */
import { type RandomSource, randomElement } from '../src/runtime/random.js';
import { MODEL, Service } from './wire.js';

/** Names of such entries begin so where they are no engine's. */
export const ODD_NAME = 'odd-';

/** An entry that is sound but for what the caller changes; its address is a living engine's. */
function entryAt(address: string): Record<string, unknown> {
  return {
    service: Service.generation,
    address,
    zone: 'zone-a',
    slots: 32,
    state: 'ready',
    stage: 'both',
    models: [{ name: MODEL, version: 1 }],
    born: Date.now(),
  };
}

/** One odd entry: fields missing or of another type, names that nothing has, a value that can't be read. */
export function makeOddEntry(random: RandomSource, address: string): unknown {
  const entry = entryAt(address);
  const choices: readonly unknown[] = [
    { ...entry, state: undefined },
    { ...entry, address: undefined },
    { ...entry, address: 7 },
    { ...entry, slots: 'many' },
    { ...entry, models: { name: MODEL } },
    { ...entry, born: 'yesterday' },
    { ...entry, state: 'resting' },
    { ...entry, service: 'service-of-another-writer' },
    '\u0000\ufffd{not an entry',
    [],
    null,
  ];
  return randomElement(random, choices);
}
