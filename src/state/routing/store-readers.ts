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
  /** Routers of a group for which one of them reads. */
  readonly routersPerReader: number;
  readonly minimumReaders: number;
}

/**
 * The readers among the members; all members of a small group. They are spread over the zones: none has
 * two more of them than another that has members left.
 */
export function chooseReaders<Member extends GroupPlace>(
  members: readonly Member[],
  policy: ReaderPolicy,
): Member[] {
  if (members.length <= policy.directGroupSize) return [...members];
  const bySize = Math.ceil(members.length / policy.routersPerReader);
  const wanted = Math.min(members.length, Math.max(policy.minimumReaders, bySize));
  const zones = [...membersByZone(members).values()];
  // Zones with the most capable members come first.
  zones.sort((left, right) => byCapability(left[0] as Member, right[0] as Member));
  const readers: Member[] = [];
  for (let rank = 0; readers.length < wanted; rank += 1) {
    const ofRank = zones.flatMap((inZone) => inZone[rank] ?? []);
    readers.push(...ofRank.slice(0, wanted - readers.length));
  }
  return readers;
}

/**
 * The reader that a router should ask, one of its own zone where there is any; undefined where it reads
 * the store itself, because it is a reader or because no reader is left that is not avoided.
 *
 * @param readers what {@link chooseReaders} answers for these members
 */
export function readerFor<Member extends GroupPlace>(
  own: GroupPlace,
  members: readonly Member[],
  policy: ReaderPolicy,
  isAvoided: (nodeId: string) => boolean,
  readers: readonly Member[] = chooseReaders(members, policy),
): Member | undefined {
  if (members.length <= policy.directGroupSize) return undefined;
  if (readers.some((reader) => reader.nodeId === own.nodeId)) return undefined;
  const usable = readers.filter((reader) => !isAvoided(reader.nodeId));
  const near = usable.filter((reader) => reader.zone === own.zone);
  const choices = near.length > 0 ? near : usable;
  const place = members.filter(({ nodeId }) => nodeId < own.nodeId).length;
  return choices[place % Math.max(1, choices.length)];
}

/** The most capable first, then by identifier, so that all routers order alike. */
export function byCapability(
  left: Pick<GroupPlace, 'nodeId' | 'capacity'>,
  right: Pick<GroupPlace, 'nodeId' | 'capacity'>,
): number {
  return right.capacity - left.capacity || (left.nodeId < right.nodeId ? -1 : 1);
}

/** The members of each zone, the most capable first. */
function membersByZone<Member extends GroupPlace>(
  members: readonly Member[],
): Map<string, Member[]> {
  const byZone = new Map<string, Member[]>();
  for (const member of [...members].sort(byCapability)) {
    const inZone = byZone.get(member.zone);
    if (inZone) inZone.push(member);
    else byZone.set(member.zone, [member]);
  }
  return byZone;
}
