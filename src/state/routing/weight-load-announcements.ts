/**
 * Announcements of weight loads, as the routers of a large group relay them. Each router relays
 * what is new to it to a few others, so that the coordinator does not have to send every
 * announcement to every router.
 */

/** The weights at an engine, announced before the platform lists them. */
export interface WeightLoadAnnouncement {
  readonly engineId: string;
  readonly model: string;
  readonly version: number;
  /** Whether the engine still refuses work for the model. */
  readonly isLoading: boolean;
  /** Time since the coordinator observed this state, in milliseconds. */
  readonly ageMs: number;
}

interface TimedAnnouncement {
  readonly announcement: Omit<WeightLoadAnnouncement, 'ageMs'>;
  readonly observedMs: number;
}

/** Announcements are relayed for this long after the state was observed. */
const RELAY_FOR_MS = 1_500;
/**
 * Announcements are retained for this long, so that delayed older ones are recognized as outdated.
 */
const RETENTION_MS = 15_000;
/** A repeated announcement counts as new if the state was observed this much later: a long load. */
const RENEWAL_MS = 700;

/** The newest announcement of each engine. */
export class WeightLoadAnnouncements {
  private readonly byEngine = new Map<string, TimedAnnouncement>();

  /** Records an announcement; returns whether it is newer than the last one of its engine. */
  record({ ageMs, ...announcement }: WeightLoadAnnouncement, nowMs: number): boolean {
    const observedMs = nowMs - ageMs;
    const known = this.byEngine.get(announcement.engineId);
    if (known && !isNewer({ announcement, observedMs }, known)) return false;
    this.byEngine.set(announcement.engineId, { announcement, observedMs });
    return true;
  }

  /** Announcements to relay to other routers; drops expired ones. */
  toRelay(nowMs: number): WeightLoadAnnouncement[] {
    const relayed: WeightLoadAnnouncement[] = [];
    for (const [engineId, { announcement, observedMs }] of this.byEngine) {
      const ageMs = Math.max(0, Math.round(nowMs - observedMs));
      if (ageMs >= RETENTION_MS) this.byEngine.delete(engineId);
      else if (ageMs < RELAY_FOR_MS) relayed.push({ ...announcement, ageMs });
    }
    return relayed;
  }
}

function isNewer(next: TimedAnnouncement, known: TimedAnnouncement): boolean {
  const difference = progressOf(next) - progressOf(known);
  return difference > 0 || (difference === 0 && next.observedMs >= known.observedMs + RENEWAL_MS);
}

/** Orders the states of an engine: loading a version, serving it, loading the next one. */
function progressOf({ announcement }: TimedAnnouncement): number {
  return announcement.version * 2 + (announcement.isLoading ? 0 : 1);
}
