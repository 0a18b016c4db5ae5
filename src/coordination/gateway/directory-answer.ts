/** Chooses the routers that a caller should connect to. */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { MemberUpdate } from '../../state/membership.js';

/** A caller's place. */
export interface CallerPlace {
  readonly zone: string;
  readonly region: string;
}

const MAXIMUM_ADDRESSES = 64;
/** With fewer routers than this in its zone, a caller is given others as well. */
const ENOUGH_NEAR = 2;

/** Addresses of working routers: those of the caller's zone if they are enough, else of its region. */
export function addressesFor(
  place: CallerPlace,
  members: readonly MemberUpdate[],
  random: RandomSource,
): string[] {
  const inZone = members.filter((member) => member.zone === place.zone);
  const inRegion = members.filter((member) => member.region === place.region);
  const choices = [inZone, inRegion, [...members]];
  const chosen = choices.find((choice) => choice.length >= ENOUGH_NEAR) ?? [...members];
  const addresses = chosen.map((member) => member.peerAddress);
  while (addresses.length > MAXIMUM_ADDRESSES) {
    addresses.splice(randomInteger(random, addresses.length), 1);
  }
  return addresses;
}
