/** Encodes and decodes the load of engines. */
import { create } from '@bufbuild/protobuf';
import { type EngineWork, EngineWorkSchema } from '../../protocol/peer/generated/cluster_pb.js';
import { toUint32 } from '../../protocol/peer/field-values.js';
import type { EngineLoad, LoadReport } from '../../state/routing/load-table.js';

export function encodeLoads(loads: LoadReport): EngineWork[] {
  return [...loads].map(([engineId, { requests, unreadTokens, heldTokens }]) =>
    create(EngineWorkSchema, {
      engineId,
      requests: toUint32(requests),
      unreadTokens: toUint32(unreadTokens),
      heldTokens: toUint32(heldTokens),
    }),
  );
}

export function decodeLoads(engines: readonly EngineWork[]): Map<string, EngineLoad> {
  return new Map(
    engines.map(({ engineId, requests, unreadTokens, heldTokens }) => [
      engineId,
      { requests, unreadTokens, heldTokens },
    ]),
  );
}
