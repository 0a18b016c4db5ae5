/** Values of integer fields in datagrams. */

const MAXIMUM_UINT32 = 0xffffffff;

/**
 * Nearest value that a `uint32` field can hold. Callers declare token counts, possibly fractional
 * ones, and sums of reported values may overflow; the encoder throws on a value that does not fit,
 * which would end the timer that sends the datagram.
 */
export function toUint32(value: number): number {
  return Number.isNaN(value) ? 0 : Math.min(MAXIMUM_UINT32, Math.max(0, Math.round(value)));
}
