/** Encodes and decodes the load of engines. */
import { create } from '@bufbuild/protobuf';
import { type EngineWork, EngineWorkSchema } from '../../protocol/peer/generated/cluster_pb.js';
import type { EngineLoad, LoadReport } from '../../state/routing/load-table.js';

export function encodeLoads(loads: LoadReport): EngineWork[] {
  return [...loads].map(([engineId, load]) => create(EngineWorkSchema, { engineId, ...load }));
}

export function decodeLoads(engines: readonly EngineWork[]): Map<string, EngineLoad> {
  return new Map(
    engines.map(({ engineId, requests, unreadTokens, heldTokens }) => [
      engineId,
      { requests, unreadTokens, heldTokens },
    ]),
  );
}
