/** Checks that brittle engines of a soak did not fail too often. */
import { CallArrivals } from './call-arrivals.js';
import type { ReportedFall } from './messages.js';
import type { SoakRecord, Violation } from './oracle.js';
import { BOUNDS, SLACK_MS } from './router-process.js';

/** Failures in one period that are allowed, in total and as a share of the engines. */
const ALLOWED_FALLS = 2;
const ALLOWED_FALL_SHARE = 1 / 10;
/** A router may send by what it knew this long before a failure. */
const CONTACT_MS = BOUNDS.contact_ms + SLACK_MS;

/** Returns the periods in which brittle engines failed too often. */
export function judgeBrittleEngines(record: SoakRecord): Violation[] {
  const arrivals = new CallArrivals(record);
  const { brittlePeriods, falls } = record.observations;
  return brittlePeriods.flatMap(({ fromMs, untilMs, engines }) => {
    const counted = falls.filter(
      (fall) =>
        fall.atMs >= fromMs && fall.atMs < (untilMs ?? Infinity) && isCounted(fall, arrivals),
    );
    if (counted.length <= ALLOWED_FALLS + engines * ALLOWED_FALL_SHARE) return [];
    const names = counted.map(({ engineId }) => engineId).join(', ');
    return [{ promise: 'brittle-engines-spared' as const, detail: `from ${fromMs}: ${names}` }];
  });
}

/** Whether most of the rejected requests came from routers that were not interrupted. */
function isCounted({ requestIds, atMs }: ReportedFall, arrivals: CallArrivals): boolean {
  const undisturbed = requestIds.filter((requestId) => {
    const call = arrivals.callOf(requestId);
    return call && !arrivals.wasInterrupted(call.router, atMs - CONTACT_MS, atMs);
  });
  return undisturbed.length * 2 > requestIds.length;
}
