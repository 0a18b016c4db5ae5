/** Total capacity of members. */

/** @param members with their capacity in thousandths of a processor core */
export function totalCapacity(members: readonly { readonly capacity: number }[]): number {
  return members.reduce((sum, { capacity }) => sum + capacity, 0);
}
