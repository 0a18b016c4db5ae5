/** Encodes and decodes announcements of brittle engines. */
import { create } from '@bufbuild/protobuf';
import {
  type BrittleEngine,
  BrittleEngineSchema,
} from '../../protocol/peer/generated/cluster_pb.js';
import type { BrittleEngineAnnouncement } from '../../state/routing/brittle-engines.js';

export function encodeBrittleEngines(
  announcements: readonly BrittleEngineAnnouncement[],
): BrittleEngine[] {
  return announcements.map(({ engineName, tolerance, ageMs, rejectedAgeMs }) =>
    create(BrittleEngineSchema, {
      engineName,
      tolerance: tolerance ?? 0,
      isLifted: tolerance === undefined,
      ageMs,
      ...(rejectedAgeMs === undefined ? {} : { rejectedAgeMs }),
    }),
  );
}

/** Decodes the brittle engines of a report; entries without a valid number are dropped. */
export function decodeBrittleEngines(
  engines: readonly BrittleEngine[],
): BrittleEngineAnnouncement[] {
  return engines
    .filter(({ tolerance }) => Number.isFinite(tolerance) && tolerance >= 0)
    .map(({ engineName, tolerance, isLifted, ageMs, rejectedAgeMs }) => ({
      engineName,
      tolerance: isLifted ? undefined : tolerance,
      ageMs,
      rejectedAgeMs,
    }));
}
