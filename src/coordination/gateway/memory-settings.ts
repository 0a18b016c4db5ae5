/** Derives the byte budget of one router from its memory. */
import { type ByteBudgetSettings, byteBudgetOf } from '../../state/routing/byte-budget.js';

const BYTES_PER_MEGABYTE = 1_048_576;
/**
 * Share of the router's memory for bytes held for callers and engines. They lie outside the V8 heap,
 * beside which the process needs the rest.
 */
const MEMORY_SHARE = 0.25;
/** Memory of the smallest machine, assumed if the platform does not state it. */
const DEFAULT_MEMORY_MB = 178;

/**
 * Derives the bounds from the router's memory.
 *
 * @throws RangeError if the memory is not a positive number
 */
export function memorySettingsFor(memoryMb: number = DEFAULT_MEMORY_MB): ByteBudgetSettings {
  return byteBudgetOf(memoryMb * BYTES_PER_MEGABYTE * MEMORY_SHARE);
}
