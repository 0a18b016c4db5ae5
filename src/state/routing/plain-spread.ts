/**
 * Chooses an engine for a request that generates no tokens. Such requests may take less time than
 * passes between two load reports, so routers that choose the engine with the lowest cost would all
 * choose the same one until the next report. Pure.
 */
import type { RandomSource } from '../../runtime/random.js';

/** An engine with a free slot, as far as known, and how much it is preferred. */
export interface SpreadChoice<Item> {
  readonly item: Item;
  /** Greater than 0. */
  readonly weight: number;
}

/** A random item, with probabilities in proportion to the weights; undefined if there is none. */
export function chooseByWeight<Item>(
  choices: readonly SpreadChoice<Item>[],
  random: RandomSource,
): Item | undefined {
  const total = choices.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const { item, weight } of choices) {
    remaining -= weight;
    if (remaining < 0) return item;
  }
  return choices.at(-1)?.item;
}
