/** Expiry of the entries of engines in a simulated store. */
import type { Clock } from '../../runtime/clock.js';
import type { SimulatedFleet } from './simulated-fleet.js';
import type { SimulatedObjectStore } from './simulated-object-store.js';
import { KINDS } from './simulation-fixtures.js';
import type { StoredEngine } from './stored-engine.js';

/** Expires all entries of engines; those of running engines are written again after a while. */
export function expireEntries(
  store: SimulatedObjectStore,
  fleet: SimulatedFleet,
  clock: Clock,
  rewriteMs: number,
): void {
  const entries = store.all(KINDS.engines);
  for (const entry of entries) store.remove(KINDS.engines, entry.name);
  clock.setTimer(rewriteMs, () => {
    for (const { name, spec } of entries) {
      if (fleet.isIncarnationRunning(spec as StoredEngine)) store.put(KINDS.engines, name, spec);
    }
  });
}
