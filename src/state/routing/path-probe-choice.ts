/** Chooses the engines whose probes show whether this router can reach engines at all. Pure. */
import type { EngineRecord } from './engine-record.js';

/**
 * Returns up to `count` engines: those among `preferred`, then others, taken from all services in turn
 * because the engines of one service may fail together.
 *
 * @param preferred identifiers of incarnations
 * @param turn number of earlier choices, so that others are chosen each time
 */
export function choosePathProbes(
  engines: readonly EngineRecord[],
  preferred: readonly string[],
  count: number,
  turn: number,
): EngineRecord[] {
  const chosen = engines.filter(({ id }) => preferred.includes(id)).slice(0, count);
  const byService = new Map<string, EngineRecord[]>();
  for (const engine of engines) {
    if (chosen.includes(engine)) continue;
    const group = byService.get(engine.service);
    if (group) group.push(engine);
    else byService.set(engine.service, [engine]);
  }
  const groups = [...byService.values()];
  while (chosen.length < count && groups.some((group) => group.length > 0)) {
    for (const group of groups) {
      if (chosen.length >= count || group.length === 0) continue;
      chosen.push(...group.splice(turn % group.length, 1));
    }
  }
  return chosen;
}
