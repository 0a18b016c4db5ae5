/** Chooses the routers that a caller should connect to. */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { MemberUpdate } from '../../state/membership.js';

/** Location of a caller. */
export interface CallerLocation {
  readonly zone: string;
  readonly region: string;
}

const MAXIMUM_ADDRESSES = 64;
/** Each router is part of at least this share of responses, however small its capacity. */
const MINIMUM_SHARE = 0.1;
/** With fewer routers than this in its zone, a caller also gets those of its region or of all. */
const MINIMUM_ROUTERS = 2;

/**
 * Returns addresses of routers in the caller's zone; with too few there, in its region or anywhere.
 * A caller distributes its requests evenly over them, so routers of lower capacity are part of
 * fewer responses.
 */
export function addressesFor(
  location: CallerLocation,
  members: readonly MemberUpdate[],
  random: RandomSource,
): string[] {
  const inZone = members.filter((member) => member.zone === location.zone);
  const inRegion = members.filter((member) => member.region === location.region);
  const choices = [inZone, inRegion, [...members]];
  const chosen = choices.find((choice) => choice.length >= MINIMUM_ROUTERS) ?? [...members];
  const addresses = sampleByCapacity(chosen, random).map((member) => member.peerAddress);
  while (addresses.length > MAXIMUM_ADDRESSES) {
    addresses.splice(randomInteger(random, addresses.length), 1);
  }
  return addresses;
}

/** Samples each member with the ratio of its capacity to the largest; keeps a minimum number. */
function sampleByCapacity(members: readonly MemberUpdate[], random: RandomSource): MemberUpdate[] {
  const largest = Math.max(...members.map((member) => member.capacity));
  const draws = members.map((member) => ({
    member,
    // Negative for the members that are selected.
    draw: random.next() - Math.max(MINIMUM_SHARE, largest === 0 ? 1 : member.capacity / largest),
  }));
  draws.sort((left, right) => left.draw - right.draw);
  const selected = draws.filter(({ draw }, index) => draw < 0 || index < MINIMUM_ROUTERS);
  return selected.map(({ member }) => member);
}
