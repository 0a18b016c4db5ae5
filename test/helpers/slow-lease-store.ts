/** A store for the coordinator lease that acknowledges writes late. */
import type { ObjectStorePort, WriteResult } from '../../src/protocol/object-store/port.js';
import { type Clock, sleep } from '../../src/runtime/clock.js';
import { StoreEra, StorePosition } from '../../src/runtime/store-position.js';

const era = StoreEra.None;

/** A store that holds no lease at first, for one router. */
export function slowLeaseStore(clock: Clock, writeMs: number): ObjectStorePort {
  let revision = 0;
  const write = async (_kind: string, name: string, spec: unknown): Promise<WriteResult> => {
    await sleep(clock, writeMs);
    revision += 1;
    return {
      kind: 'written',
      era,
      object: { name, position: new StorePosition(era, revision), spec },
    };
  };
  const read = () => Promise.resolve({ era, object: undefined });
  return { read, create: write, replace: write } as unknown as ObjectStorePort;
}
