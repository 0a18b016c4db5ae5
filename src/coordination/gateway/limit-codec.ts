/** Encodes and decodes announcements of engine rate limits. */
import { create } from '@bufbuild/protobuf';
import { type EngineLimit, EngineLimitSchema } from '../../protocol/peer/generated/cluster_pb.js';
import type { EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';

export function encodeLimits(announcements: readonly EngineLimitAnnouncement[]): EngineLimit[] {
  return announcements.map(({ engineName, perSecond, ageMs }) =>
    create(EngineLimitSchema, {
      engineName,
      perSecond: perSecond ?? 0,
      isLifted: perSecond === undefined,
      ageMs,
    }),
  );
}

/** Decodes the limits of a report; entries without a valid rate are dropped. */
export function decodeLimits(limits: readonly EngineLimit[]): EngineLimitAnnouncement[] {
  return limits
    .filter(({ perSecond }) => Number.isFinite(perSecond) && perSecond >= 0)
    .map(({ engineName, perSecond, isLifted, ageMs }) => ({
      engineName,
      perSecond: isLifted ? undefined : perSecond,
      ageMs,
    }));
}
