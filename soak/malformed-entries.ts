/** Malformed engine entries, as a foreign writer may leave them in the soak's store. */
import { type RandomSource, randomElement } from '../src/runtime/random.js';
import { MODEL, Service } from './wire.js';

/** Prefix of the names of malformed entries that belong to no engine. */
export const MALFORMED_NAME_PREFIX = 'odd-';

/** A valid entry with the address of a running engine. */
function validEntry(address: string): Record<string, unknown> {
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

/** Draws an entry with missing fields, wrong types, unknown names or an undecodable value. */
export function drawMalformedEntry(random: RandomSource, address: string): unknown {
  const entry = validEntry(address);
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
