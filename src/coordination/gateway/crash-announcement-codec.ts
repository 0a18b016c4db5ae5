/** What reports carry of crashed engines and of requests in quarantine, as messages and as the router's values. */
import { create } from '@bufbuild/protobuf';
import type { CrashAnnouncements } from '../../state/routing/crash-announcement-queue.js';
import {
  EngineCrashSchema,
  type LoadReport,
  QuarantinedRequestSchema,
} from '../../protocol/peer/generated/cluster_pb.js';

/** The fields of a report that hold crash news. */
export type CrashAnnouncementFields = Pick<LoadReport, 'crashes' | 'quarantine'>;

export function encodeCrashAnnouncements({
  crashes,
  quarantine,
}: CrashAnnouncements): CrashAnnouncementFields {
  return {
    crashes: crashes.map(({ engineId, fingerprints, ageMs }) =>
      create(EngineCrashSchema, { engineId, fingerprints: fingerprints.map(toBytes), ageMs }),
    ),
    quarantine: quarantine.map(({ fingerprint, isCleared, ageMs }) =>
      create(QuarantinedRequestSchema, { fingerprint: toBytes(fingerprint), isCleared, ageMs }),
    ),
  };
}

export function decodeCrashAnnouncements({
  crashes,
  quarantine,
}: CrashAnnouncementFields): CrashAnnouncements {
  return {
    crashes: crashes.map(({ engineId, fingerprints, ageMs }) => ({
      engineId,
      fingerprints: fingerprints.map(toText),
      ageMs,
    })),
    quarantine: quarantine.map(({ fingerprint, isCleared, ageMs }) => ({
      fingerprint: toText(fingerprint),
      isCleared,
      ageMs,
    })),
  };
}

function toBytes(fingerprint: string): Uint8Array<ArrayBuffer> {
  return new Uint8Array(Buffer.from(fingerprint, 'hex'));
}

function toText(fingerprint: Uint8Array): string {
  return Buffer.from(fingerprint).toString('hex');
}
