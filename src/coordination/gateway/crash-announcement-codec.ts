/** Converts crash and quarantine announcements between protobuf messages and the router's types. */
import { create } from '@bufbuild/protobuf';
import type {
  CrashAnnouncements,
  SuspectAnnouncements,
} from '../../state/routing/crash-announcement-queue.js';
import {
  EngineCrashSchema,
  type LoadReport,
  ProvisionalQuarantineSchema,
  QuarantinedRequestSchema,
} from '../../protocol/peer/generated/cluster_pb.js';

/** Fields of a load report that carry crash announcements. */
export type CrashAnnouncementFields = Pick<
  LoadReport,
  'crashes' | 'quarantine' | 'provisionalQuarantine'
>;

/** Fields of a load report that carry crash announcements on requests and prompt parts. */
export type SuspectAnnouncementFields = CrashAnnouncementFields &
  Pick<LoadReport, 'partCrashes' | 'partQuarantine'>;

export function encodeSuspectAnnouncements({
  requests,
  promptParts,
}: SuspectAnnouncements): SuspectAnnouncementFields {
  // Quarantines of prompt parts are never provisional.
  const { crashes: partCrashes, quarantine: partQuarantine } =
    encodeCrashAnnouncements(promptParts);
  return { ...encodeCrashAnnouncements(requests), partCrashes, partQuarantine };
}

export function decodeSuspectAnnouncements({
  partCrashes,
  partQuarantine,
  ...requests
}: SuspectAnnouncementFields): SuspectAnnouncements {
  return {
    requests: decodeCrashAnnouncements(requests),
    promptParts: decodeCrashAnnouncements({
      crashes: partCrashes,
      quarantine: partQuarantine,
      provisionalQuarantine: [],
    }),
  };
}

export function encodeCrashAnnouncements({
  crashes,
  quarantine,
  provisional = [],
}: CrashAnnouncements): CrashAnnouncementFields {
  return {
    crashes: crashes.map(({ engineId, fingerprints, ageMs, sentAgesMs }) =>
      create(EngineCrashSchema, {
        engineId,
        fingerprints: fingerprints.map(toBytes),
        ageMs,
        sentAgesMs: [...(sentAgesMs ?? [])],
      }),
    ),
    quarantine: quarantine.map(({ fingerprint, isCleared, ageMs, isConfirmed = false }) =>
      create(QuarantinedRequestSchema, {
        fingerprint: toBytes(fingerprint),
        isCleared,
        ageMs,
        isConfirmed,
      }),
    ),
    provisionalQuarantine: provisional.map(({ fingerprint, ageMs, trials, trialAgeMs }) =>
      create(ProvisionalQuarantineSchema, {
        fingerprint: toBytes(fingerprint),
        ageMs,
        trials,
        trialAgeMs,
      }),
    ),
  };
}

export function decodeCrashAnnouncements({
  crashes,
  quarantine,
  provisionalQuarantine,
}: CrashAnnouncementFields): CrashAnnouncements {
  return {
    crashes: crashes.map(({ engineId, fingerprints, ageMs, sentAgesMs }) => ({
      engineId,
      fingerprints: fingerprints.map(toHex),
      ageMs,
      ...(sentAgesMs.length > 0 && { sentAgesMs }),
    })),
    quarantine: quarantine.map(({ fingerprint, isCleared, ageMs, isConfirmed }) => ({
      fingerprint: toHex(fingerprint),
      isCleared,
      ageMs,
      ...(isConfirmed && { isConfirmed }),
    })),
    ...(provisionalQuarantine.length > 0 && {
      provisional: provisionalQuarantine.map(({ fingerprint, ageMs, trials, trialAgeMs }) => ({
        fingerprint: toHex(fingerprint),
        ageMs,
        trials,
        trialAgeMs,
      })),
    }),
  };
}

function toBytes(fingerprint: string): Uint8Array<ArrayBuffer> {
  return new Uint8Array(Buffer.from(fingerprint, 'hex'));
}

function toHex(fingerprint: Uint8Array): string {
  return Buffer.from(fingerprint).toString('hex');
}
