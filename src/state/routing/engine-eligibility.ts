/** Whether an engine's own statements allow requests of this router now. Pure. */
import type { BrittleEngineView } from './brittle-engines.js';
import type { EngineHealth } from './engine-health.js';
import type { EngineRecord } from './engine-record.js';
import type { Engine } from './engine-registry.js';
import type { LoadTable } from './load-table.js';
import type { SlotView } from './send-slots.js';

/** State that the decisions read. */
export interface EligibilityTables {
  readonly loads: LoadTable;
  readonly health: EngineHealth;
}

/** How the routers of a group divide what an engine accepts. */
export interface SlotSharing {
  /** All engines of the service. */
  readonly candidates: readonly Engine[];
  /** Send slots of this router at rate-limited engines. */
  readonly slotView: SlotView;
}

/**
 * Whether the engine requested a pause. Unlike avoidance after failures, a pause is never
 * overridden, even if no other engine is left.
 */
export function isBackingOff(
  { record }: Engine,
  { health }: EligibilityTables,
  nowMs: number,
): boolean {
  return health.backoffs.remainingMs(record.name, nowMs) > 0;
}

/**
 * Whether this router has a slot in the engine's rate limit, and a brittle engine has room. Neither
 * is ever overridden.
 */
export function isWithinLimit(
  { record }: Engine,
  { slotView, candidates }: SlotSharing,
  { health, loads }: EligibilityTables,
  nowMs: number,
): boolean {
  if (!health.limits.maySend(record.name, slotView)) return false;
  if (!isBrittle(candidates, health)) return true;
  const view = brittleEngineView(record, candidates, slotView, loads);
  return health.brittle.roomAt(view, nowMs) > 0;
}

/**
 * Whether the engines of a service are brittle: one of them stated it. One that has not responded
 * yet, because it just started, is like the others.
 */
export function isBrittle(engines: readonly Engine[], { brittle }: EngineHealth): boolean {
  if (!brittle.hasAny) return false;
  return engines.some(({ record }) => brittle.tolerance(record.name) !== undefined);
}

/** What limits the requests of this router to a brittle engine, one of the engines of its service. */
export function brittleEngineView(
  { id, name: engineName, slots }: EngineRecord,
  engines: readonly Engine[],
  slotView: SlotView,
  loads: LoadTable,
): BrittleEngineView {
  const serviceSlots = engines.reduce((sum, { record }) => sum + record.slots, 0);
  return { engineName, slots, serviceSlots, slotView, ownRequests: loads.ownRequestsAt(id) };
}
