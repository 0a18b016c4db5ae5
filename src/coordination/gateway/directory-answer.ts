/** Chooses the routers that a caller should connect to. */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { MemberUpdate } from '../../state/membership.js';

/** A caller's place. */
export interface CallerPlace {
  readonly zone: string;
  readonly region: string;
}

const MAXIMUM_ADDRESSES = 64;
/** A router is left out of some answers, but not of more than all but this share. */
const LEAST_SHARE = 0.1;
/** With fewer routers than this in its zone, a caller is given others as well. */
const ENOUGH_NEAR = 2;

/**
 * Addresses of working routers: those of the caller's zone if they are enough, else of its region. A
 * caller picks among them evenly, so routers of less capacity stand in fewer answers.
 */
export function addressesFor(
  place: CallerPlace,
  members: readonly MemberUpdate[],
  random: RandomSource,
): string[] {
  const inZone = members.filter((member) => member.zone === place.zone);
  const inRegion = members.filter((member) => member.region === place.region);
  const choices = [inZone, inRegion, [...members]];
  const chosen = choices.find((choice) => choice.length >= ENOUGH_NEAR) ?? [...members];
  const addresses = sampleByCapacity(chosen, random).map((member) => member.peerAddress);
  while (addresses.length > MAXIMUM_ADDRESSES) {
    addresses.splice(randomInteger(random, addresses.length), 1);
  }
  return addresses;
}

/** Each member with the share of answers that its capacity is of the largest; enough in any case. */
function sampleByCapacity(members: readonly MemberUpdate[], random: RandomSource): MemberUpdate[] {
  const largest = Math.max(...members.map((member) => member.capacity));
  const drawn = members.map((member) => ({
    member,
    // Below 0 for those that this answer names.
    lot: random.next() - Math.max(LEAST_SHARE, largest === 0 ? 1 : member.capacity / largest),
  }));
  drawn.sort((left, right) => left.lot - right.lot);
  const named = drawn.filter(({ lot }, index) => lot < 0 || index < ENOUGH_NEAR);
  return named.map(({ member }) => member);
}
