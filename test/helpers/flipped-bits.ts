/** Copies of a message with one flipped bit each, for tests of what spoiled bytes do. */

const BITS_PER_BYTE = 8;

/** All copies, in the order of their bits. */
export function withFlippedBits(message: Uint8Array): Buffer[] {
  return Array.from({ length: message.length * BITS_PER_BYTE }, (_, position) => {
    const flipped = Buffer.from(message);
    const index = Math.floor(position / BITS_PER_BYTE);
    flipped[index] = (message[index] as number) ^ (1 << (position % BITS_PER_BYTE));
    return flipped;
  });
}
