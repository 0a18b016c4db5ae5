/** Engine records for tests. */
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import type { EngineRecord } from '../../src/state/routing/engine-record.js';

/** Creates the record of one incarnation of an engine. */
export function engineRecord(
  name: string,
  startedAtMs: number | undefined,
  changes: Partial<EngineRecord> = {},
): EngineRecord {
  return {
    id: incarnationOf(name, startedAtMs),
    name,
    startedAtMs,
    service: 'generation',
    address: `${name}:1`,
    zone: 'zone-a',
    slots: 8,
    isDraining: false,
    modelVersions: new Map([['model-a', 1]]),
    ...changes,
  };
}
