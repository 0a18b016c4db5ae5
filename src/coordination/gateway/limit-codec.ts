/** Limits of engines, as messages and as the router's values. */
import { create } from '@bufbuild/protobuf';
import { type EngineLimit, EngineLimitSchema } from '../../protocol/peer/generated/cluster_pb.js';
import type { EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';

export function encodeLimits(notices: readonly EngineLimitAnnouncement[]): EngineLimit[] {
  return notices.map(({ engineName, perSecond, ageMs }) =>
    create(EngineLimitSchema, {
      engineName,
      perSecond: perSecond ?? 0,
      isLifted: perSecond === undefined,
      ageMs,
    }),
  );
}

/** Limits of a report; what is no rate is left out. */
export function decodeLimits(limits: readonly EngineLimit[]): EngineLimitAnnouncement[] {
  return limits
    .filter(({ perSecond }) => Number.isFinite(perSecond) && perSecond >= 0)
    .map(({ engineName, perSecond, isLifted, ageMs }) => ({
      engineName,
      perSecond: isLifted ? undefined : perSecond,
      ageMs,
    }));
}
