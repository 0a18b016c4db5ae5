/**
 * Which routers of a large group read the store themselves; the others follow it through one of these.
 * Every router decides alike from its view of the group; views that differ for a moment do no harm,
 * since whoever is asked answers with what it knows and how old that is. Pure.
 */

/** A router, as far as this choice goes. */
export interface GroupPlace {
  readonly nodeId: string;
  readonly zone: string;
  /** Share of a processor core, in thousandths: the most capable of a zone read. */
  readonly capacity: number;
}

/** How many routers read. */
export interface ReaderPolicy {
  /** In a group of this size or less every router reads the store itself. */
  readonly directGroupSize: number;
  /** Routers of a zone for which one of them reads. */
  readonly routersPerReader: number;
  readonly minimumReaders: number;
}

/** The readers among the members; all members of a small group. */
export function chooseReaders<Member extends GroupPlace>(
  members: readonly Member[],
  policy: ReaderPolicy,
): Member[] {
  if (members.length <= policy.directGroupSize) return [...members];
  const zones = [...new Set(members.map((member) => member.zone))];
  const leastPerZone = Math.ceil(policy.minimumReaders / zones.length);
  return zones.flatMap((zone) => {
    const inZone = membersOf(zone, members);
    const wanted = Math.max(leastPerZone, Math.ceil(inZone.length / policy.routersPerReader));
    return inZone.slice(0, wanted);
  });
}

/**
 * The reader that a router should ask; undefined where it reads the store itself, because it is a
 * reader or because no reader is left that is not avoided.
 */
export function readerFor<Member extends GroupPlace>(
  own: GroupPlace,
  members: readonly Member[],
  policy: ReaderPolicy,
  isAvoided: (nodeId: string) => boolean,
): Member | undefined {
  if (members.length <= policy.directGroupSize) return undefined;
  const readers = chooseReaders(members, policy);
  if (readers.some((reader) => reader.nodeId === own.nodeId)) return undefined;
  const usable = readers.filter((reader) => !isAvoided(reader.nodeId));
  const near = usable.filter((reader) => reader.zone === own.zone);
  const choices = near.length > 0 ? near : usable;
  const place = membersOf(own.zone, members).findIndex(({ nodeId }) => nodeId === own.nodeId);
  return choices[Math.max(0, place) % Math.max(1, choices.length)];
}

/** The most capable first, then by identifier, so that all routers order alike. */
export function byCapability(
  left: Pick<GroupPlace, 'nodeId' | 'capacity'>,
  right: Pick<GroupPlace, 'nodeId' | 'capacity'>,
): number {
  return right.capacity - left.capacity || (left.nodeId < right.nodeId ? -1 : 1);
}

function membersOf<Member extends GroupPlace>(zone: string, members: readonly Member[]): Member[] {
  const inZone = members.filter((member) => member.zone === zone);
  return inZone.sort(byCapability);
}
