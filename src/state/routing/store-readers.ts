/**
 * Chooses the routers of a large group that read the store directly; the others read it through one
 * of these. Every router computes the same choice from its view of the group. Views may differ
 * temporarily, since every router responds to a query with its last known state and the age of that
 * state. Pure.
 */

/** The properties of a router that the choice depends on. */
export interface ReaderCandidate {
  readonly nodeId: string;
  readonly zone: string;
  /** CPU capacity in thousandths of a core; the routers with the most are chosen first. */
  readonly capacity: number;
}

/** How many routers read the store directly. */
export interface ReaderPolicy {
  /** Up to this group size every router reads the store directly. */
  readonly directGroupSize: number;
  /** Number of routers per reader. */
  readonly routersPerReader: number;
  readonly minimumReaders: number;
}

/**
 * Returns the readers among the members; all members of a small group. The readers are spread over
 * the zones: their numbers differ by at most one, except for zones without further members.
 */
export function chooseReaders<Member extends ReaderCandidate>(
  members: readonly Member[],
  policy: ReaderPolicy,
): Member[] {
  if (members.length <= policy.directGroupSize) return [...members];
  const bySize = Math.ceil(members.length / policy.routersPerReader);
  const wanted = Math.min(members.length, Math.max(policy.minimumReaders, bySize));
  const zones = [...membersByZone(members).values()];
  // Zones with the highest-capacity members come first.
  zones.sort((left, right) => byCapacity(left[0] as Member, right[0] as Member));
  const readers: Member[] = [];
  for (let rank = 0; readers.length < wanted; rank += 1) {
    const ofRank = zones.flatMap((inZone) => inZone[rank] ?? []);
    readers.push(...ofRank.slice(0, wanted - readers.length));
  }
  return readers;
}

/**
 * Returns the reader that a router should query, preferably one of its own zone; undefined if the
 * router reads the store directly, because it is a reader itself or because all readers are
 * avoided.
 *
 * @param readers the result of {@link chooseReaders} for these members
 */
export function readerFor<Member extends ReaderCandidate>(
  own: ReaderCandidate,
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
  const position = members.filter(({ nodeId }) => nodeId < own.nodeId).length;
  return choices[position % Math.max(1, choices.length)];
}

/** Orders by descending capacity, then by identifier; the same at all routers. */
export function byCapacity(
  left: Pick<ReaderCandidate, 'nodeId' | 'capacity'>,
  right: Pick<ReaderCandidate, 'nodeId' | 'capacity'>,
): number {
  return right.capacity - left.capacity || (left.nodeId < right.nodeId ? -1 : 1);
}

/** The members of each zone, by descending capacity. */
function membersByZone<Member extends ReaderCandidate>(
  members: readonly Member[],
): Map<string, Member[]> {
  const byZone = new Map<string, Member[]>();
  for (const member of [...members].sort(byCapacity)) {
    const inZone = byZone.get(member.zone);
    if (inZone) inZone.push(member);
    else byZone.set(member.zone, [member]);
  }
  return byZone;
}
