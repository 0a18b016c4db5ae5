/** Random numbers of a node. Injected, so that a run can be repeated with its seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of uniform random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
}

const UINT32_RANGE = 0x1_0000_0000;

/** A seeded generator (xoroshiro128+ of `pure-rand`). */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }
}

/** The generator of the JavaScript runtime, for daemons. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}

/** An integer in [0, bound). */
export function randomInteger(random: RandomSource, bound: number): number {
  return Math.floor(random.next() * bound);
}

/** A random element, or undefined if there is none. */
export function randomElement<T>(random: RandomSource, elements: readonly T[]): T | undefined {
  return elements[randomInteger(random, elements.length)];
}

/** A random identifier of 20 characters from 0-9 and a-v (100 bits). */
export function randomIdentifier(random: RandomSource): string {
  const IDENTIFIER_LENGTH = 20;
  const RADIX = 32;
  let identifier = '';
  while (identifier.length < IDENTIFIER_LENGTH) {
    identifier += randomInteger(random, RADIX).toString(RADIX);
  }
  return identifier;
}
