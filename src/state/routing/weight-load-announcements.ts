/**
 * News of engines that take other weights, as a router of a large group passes them on: each router
 * tells what is new to it to a few others, so that the one that gives the orders need not tell all.
 */

/** What a router knows of the weights at an engine before the platform lists it. */
export interface WeightLoadAnnouncement {
  readonly engineId: string;
  readonly model: string;
  readonly version: number;
  /** Whether the engine still refuses work for the model. */
  readonly isLoading: boolean;
  /** Time since the router that gives the orders found this, in milliseconds. */
  readonly ageMs: number;
}

interface KnownNews {
  readonly news: Omit<WeightLoadAnnouncement, 'ageMs'>;
  readonly foundMs: number;
}

/** News are told for this long after they were found. */
const TOLD_FOR_MS = 1_500;
/** News are remembered for this long, so that older ones that come late are known for such. */
const REMEMBERED_FOR_MS = 15_000;
/** The same news count as new again if they were found this much later: a load that lasts. */
const RENEWAL_MS = 700;

/** The newest news of each engine. */
export class WeightLoadAnnouncements {
  private readonly byEngine = new Map<string, KnownNews>();

  /** Notes news; true where they tell something new. */
  take({ ageMs, ...news }: WeightLoadAnnouncement, nowMs: number): boolean {
    const foundMs = nowMs - ageMs;
    const known = this.byEngine.get(news.engineId);
    if (known && !isNewer({ news, foundMs }, known)) return false;
    this.byEngine.set(news.engineId, { news, foundMs });
    return true;
  }

  /** News that others should be told. */
  toTell(nowMs: number): WeightLoadAnnouncement[] {
    const told: WeightLoadAnnouncement[] = [];
    for (const [engineId, { news, foundMs }] of this.byEngine) {
      const ageMs = Math.max(0, Math.round(nowMs - foundMs));
      if (ageMs >= REMEMBERED_FOR_MS) this.byEngine.delete(engineId);
      else if (ageMs < TOLD_FOR_MS) told.push({ ...news, ageMs });
    }
    return told;
  }
}

function isNewer(news: KnownNews, known: KnownNews): boolean {
  const difference = stepOf(news) - stepOf(known);
  return difference > 0 || (difference === 0 && news.foundMs >= known.foundMs + RENEWAL_MS);
}

/** An engine takes a version, has it, takes the next. */
function stepOf({ news }: KnownNews): number {
  return news.version * 2 + (news.isLoading ? 0 : 1);
}
