/**
 * Persists quarantined requests and prompt parts in the store, so that they survive a restart of all
 * routers and operators can inspect them and lift a quarantine by removing its object. None of the
 * calls delays a request: one write when a subject is quarantined, one when it is released, and a
 * periodic list that may be stale. Other routers learn of changes by gossip.
 */
import { z } from 'zod';
import { type Clock, type Timer } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import { StorePosition } from '../../runtime/store-position.js';
import { describeProtocolError, toProtocolError } from '../../protocol/errors.js';
import {
  ListFreshness,
  type ObjectStorePort,
  type StoredObject,
} from '../../protocol/object-store/port.js';
import { QUARANTINE_LIFETIME_MS } from '../../state/routing/quarantine-entry.js';
import { CrashSubject } from './crash-guard.js';

/** A quarantined request or prompt part in the store; its fingerprint is the object's name. */
export interface QuarantineRecord {
  readonly tenant: string;
  readonly route: string;
  readonly path: string;
  /** What is quarantined; a request if the record doesn't say. */
  readonly subject: CrashSubject;
  /** Identifier of a quarantined prompt part. */
  readonly promptPart?: string | undefined;
  /** Engines that crashed while running it. */
  readonly engines: readonly string[];
  /** Wall-clock time in Unix milliseconds. */
  readonly quarantinedAtMs: number;
  /** Whether no trial is to be made; false in records of builds that make none. */
  readonly isConfirmed: boolean;
}

/** The record of a quarantined subject as it was listed. */
export interface StoredQuarantine {
  readonly subject: CrashSubject;
  readonly fingerprint: string;
  /** Time since its start, in milliseconds. */
  readonly ageMs: number;
  readonly isConfirmed: boolean;
}

/** Receives the results of a list. */
export interface QuarantineStoreEvents {
  onStored(stored: StoredQuarantine): void;
  /** A listed object was removed from the store. */
  onRemoved(fingerprint: string): void;
  /** A list was processed; called after the other events of the list. */
  onListed(listed: ReadonlySet<string>): void;
}

/** Dependencies of {@link QuarantineStore}. */
export interface QuarantineStoreParts {
  readonly kind: string;
  readonly store: ObjectStorePort;
  readonly events: QuarantineStoreEvents;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Period of lists; an operator's removal takes effect within this time plus jitter. */
const LIST_PERIOD_MS = 30_000;
/** Pause after the first failed call; doubles with each further failure. */
const FIRST_PAUSE_MS = 1_000;
const JITTER_SHARE = 0.3;

const recordSchema = z.object({
  tenant: z.string(),
  route: z.string(),
  path: z.string(),
  subject: z.enum(CrashSubject).default(CrashSubject.Request),
  promptPart: z.string().optional(),
  engines: z.array(z.string()),
  quarantinedAtMs: z.number(),
  isConfirmed: z.boolean().default(false),
});

/** A write that is still to be made. */
type PendingWrite =
  { readonly kind: 'create'; readonly record: QuarantineRecord } | { readonly kind: 'remove' };

/** Reads and writes the stored quarantine for one router. */
export class QuarantineStore {
  private readonly pending = new Map<string, PendingWrite>();
  private listed = new Set<string>();
  private newestPosition = StorePosition.start;
  private isWriting = false;
  private writeFailures = 0;
  private listFailures = 0;
  private isStopped = false;
  private timer: Timer | undefined;

  constructor(private readonly parts: QuarantineStoreParts) {}

  start(): void {
    void this.listAndRepeat();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Adds a quarantined subject; the write is repeated until the store accepts it. */
  add(fingerprint: string, record: QuarantineRecord): void {
    this.pending.set(fingerprint, { kind: 'create', record });
    void this.writeNext();
  }

  /** Removes a subject that was released from quarantine. */
  remove(fingerprint: string): void {
    this.listed.delete(fingerprint);
    this.pending.set(fingerprint, { kind: 'remove' });
    void this.writeNext();
  }

  /** Cancels the pending addition of a subject that was released meanwhile. */
  cancelAdd(fingerprint: string): void {
    if (this.pending.get(fingerprint)?.kind === 'create') this.pending.delete(fingerprint);
  }

  private async writeNext(): Promise<void> {
    const [next] = this.pending;
    if (!next || this.isWriting || this.isStopped) return;
    const [fingerprint, write] = next;
    this.isWriting = true;
    const isDone = await this.write(fingerprint, write);
    this.isWriting = false;
    if (isDone) {
      if (this.pending.get(fingerprint) === write) this.pending.delete(fingerprint);
      void this.writeNext();
      return;
    }
    this.parts.clock.setTimer(this.pauseMs(this.writeFailures), () => void this.writeNext());
  }

  private async write(fingerprint: string, write: PendingWrite): Promise<boolean> {
    const { store, kind } = this.parts;
    try {
      // An object that exists already was written by another router that detected the same crash.
      if (write.kind === 'create') await store.create(kind, fingerprint, write.record);
      else await store.remove(kind, fingerprint);
      this.writeFailures = 0;
      return true;
    } catch (cause) {
      this.writeFailures += 1;
      this.logFailure('quarantine_write_failed', cause, this.writeFailures);
      return false;
    }
  }

  private async listAndRepeat(): Promise<void> {
    const { store, kind } = this.parts;
    let pauseMs = LIST_PERIOD_MS;
    try {
      const { objects, position } = await store.list(kind, ListFreshness.MayBeStale);
      this.listFailures = 0;
      if (!this.isStopped) this.applyList(objects, position);
    } catch (cause) {
      this.listFailures += 1;
      this.logFailure('quarantine_list_failed', cause, this.listFailures);
      pauseMs = this.pauseMs(this.listFailures);
    }
    if (this.isStopped) return;
    const jitteredMs = pauseMs * (1 + JITTER_SHARE * this.parts.random.next());
    this.timer = this.parts.clock.setTimer(jitteredMs, () => void this.listAndRepeat());
  }

  private applyList(objects: readonly StoredObject[], position: StorePosition): void {
    // A stale list can be older than the previous one.
    if (position.isBefore(this.newestPosition)) return;
    const isSameEra = position.era === this.newestPosition.era;
    this.newestPosition = position;
    const before = this.listed;
    this.listed = new Set();
    for (const object of objects) this.applyObject(object);
    // Objects missing from a restored store were lost, not removed by an operator; they are added
    // again.
    const missing = isSameEra ? [...before].filter((each) => !this.listed.has(each)) : [];
    for (const fingerprint of missing) this.parts.events.onRemoved(fingerprint);
    this.parts.events.onListed(this.listed);
  }

  private applyObject({ name, position, spec }: StoredObject): void {
    const parsed = recordSchema.safeParse(spec);
    if (!parsed.success) {
      const reason = parsed.error.issues[0]?.message ?? 'unreadable';
      const { revision } = position;
      this.parts.logger.error('object_malformed', { object: name, revision, reason });
      return;
    }
    const ageMs = Math.max(0, this.parts.clock.wallNow() - parsed.data.quarantinedAtMs);
    if (ageMs > QUARANTINE_LIFETIME_MS) {
      this.remove(name);
      return;
    }
    this.listed.add(name);
    const { subject, isConfirmed } = parsed.data;
    this.parts.events.onStored({ subject, fingerprint: name, ageMs, isConfirmed });
  }

  private pauseMs(failures: number): number {
    return Math.min(LIST_PERIOD_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
  }

  private logFailure(event: string, cause: unknown, failures: number): void {
    const reason = describeProtocolError(toProtocolError(cause, 'store'));
    this.parts.logger.warn(event, { reason, failures });
  }
}
