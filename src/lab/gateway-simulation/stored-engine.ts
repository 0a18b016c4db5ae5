/** Engine entries in the simulated store, and their decoder. */
import type { Decoded } from '../../coordination/gateway/object-decoder.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import { incarnationOf } from '../../state/routing/engine-incarnation.js';
import type { EngineRecord } from '../../state/routing/engine-registry.js';

/** An engine's entry in JSON-compatible form. Its key in the store is the engine's name. */
export type StoredEngine = Omit<EngineRecord, 'id' | 'modelVersions'> & {
  readonly modelVersions: readonly (readonly [model: string, version: number])[];
};

/** Decodes an entry, which may be malformed. */
export function decodeStoredEngine({ spec }: StoredObject): Decoded<EngineRecord> {
  const fault = findFault(spec);
  if (fault !== undefined) return { kind: 'malformed', reason: fault };
  const { modelVersions, ...entry } = spec as StoredEngine;
  const id = incarnationOf(entry.name, entry.startedAtMs);
  return { kind: 'value', value: { ...entry, id, modelVersions: new Map(modelVersions) } };
}

/** Describes the first malformed field; undefined if the entry is valid. */
function findFault(spec: unknown): string | undefined {
  if (typeof spec !== 'object' || spec === null) return 'entry: unreadable';
  const { name, address, service, slots, isDraining, modelVersions } = spec as Record<
    string,
    unknown
  >;
  if (typeof name !== 'string') return 'name: not a text';
  if (typeof address !== 'string') return 'address: not a text';
  if (typeof service !== 'string') return 'service: not a text';
  if (typeof slots !== 'number') return 'slots: not a number';
  if (typeof isDraining !== 'boolean') return 'state: unknown';
  return Array.isArray(modelVersions) ? undefined : 'versions: not a list';
}
