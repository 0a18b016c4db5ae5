/** Ranks the routers of a group for the trials of one request, the same at all of them. */
import type { Hasher } from '../../runtime/hasher.js';
import type { MemberUpdate } from '../../state/membership.js';
import { countRankedBefore } from '../../state/rendezvous.js';

/** The group, from one router's point of view. */
export interface RankedGroup {
  readonly own: MemberUpdate;
  readonly working: readonly MemberUpdate[];
}

/** Hexadecimal digits of a fingerprint that fit into the seed of a hash. */
const KEY_DIGITS = 16;

/** Number of routers that come before this one for a request, by its fingerprint. */
export function trialRank(
  fingerprint: string,
  { own, working }: RankedGroup,
  hasher: Hasher,
): number {
  const key = BigInt(`0x${fingerprint.slice(0, KEY_DIGITS)}`);
  const nodeIds = working.map(({ nodeId }) => nodeId);
  return countRankedBefore(hasher, key, nodeIds, own.nodeId);
}
