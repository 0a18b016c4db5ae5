/** Sum of what members can do. */

/** @param members each with its share of a processor core, in thousandths */
export function totalCapacity(members: readonly { readonly capacity: number }[]): number {
  return members.reduce((sum, { capacity }) => sum + capacity, 0);
}
