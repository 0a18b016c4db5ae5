/**
 * Limits the engines to compare for a request that generates no tokens. Such requests may take less
 * time than a load report, so the reported loads are outdated, and routers that compare all engines
 * would all choose the one that was the least busy. Pure.
 */
import { type RandomSource, randomInteger } from '../../runtime/random.js';
import type { Engine, EngineRecord } from './engine-registry.js';

/**
 * Two random engines with a free slot (power of two choices); of all engines if none has one.
 *
 * @param requestsAt running requests at an engine
 */
export function spreadCandidates(
  engines: readonly Engine[],
  requestsAt: (record: EngineRecord) => number,
  random: RandomSource,
): readonly Engine[] {
  const withFreeSlot = engines.filter(({ record }) => requestsAt(record) < record.slots);
  const eligible = withFreeSlot.length > 0 ? withFreeSlot : engines;
  if (eligible.length <= 2) return eligible;
  const first = randomInteger(random, eligible.length);
  const offset = 1 + randomInteger(random, eligible.length - 1);
  const second = (first + offset) % eligible.length;
  return [eligible[first] as Engine, eligible[second] as Engine];
}
