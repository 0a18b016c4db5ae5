/** Records of engines as tests need them. */
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import type { EngineRecord } from '../../src/state/routing/engine-record.js';

/** An engine's record in one of its lives. */
export function engineRecord(
  name: string,
  bornMs: number | undefined,
  changes: Partial<EngineRecord> = {},
): EngineRecord {
  return {
    id: incarnationOf(name, bornMs),
    name,
    bornMs,
    service: 'generation',
    address: `${name}:1`,
    zone: 'zone-a',
    slots: 8,
    isDraining: false,
    modelVersions: new Map([['model-a', 1]]),
    ...changes,
  };
}
