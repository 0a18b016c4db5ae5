/**
 * Keeps the builds that services have had recently in the store, for routers that start while nobody is
 * left who has seen them. The record holds no times: a build is added when a router sees it, and
 * removed by a router for which it has been gone for as long as a stream can be taken up. So it stays
 * right however long all routers were down. Where there is none, only routers of earlier versions have
 * served, which kept none; the first router that reads this begins the record with what it sees.
 */
import { z } from 'zod';
import type { Clock, Timer } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import { describeProtocolError, toProtocolError } from '../../protocol/errors.js';
import type { ObjectStorePort, StoredObject } from '../../protocol/object-store/port.js';
import type { BuildHistory, ServiceBuilds } from '../../state/routing/build-history.js';
import type { GatewaySettings } from './gateway-settings.js';

/** Where the record is kept. */
export interface BuildRecordSource {
  /** Object kind of the record in the store. */
  readonly kind: string;
  readonly store: Pick<ObjectStorePort, 'read' | 'create' | 'replace'>;
  /** Whether the deployment starts for the first time, so that no stream began before. */
  readonly isFirstStart: boolean;
  /** Spreads the calls of routers that start together. */
  readonly random: RandomSource;
}

/** Dependencies of {@link BuildRecord}. */
export interface BuildRecordParts extends BuildRecordSource {
  readonly history: BuildHistory;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Where a router of the given settings keeps the record. */
export function buildRecordSource(
  { kinds, isFirstStart }: GatewaySettings,
  store: ObjectStorePort,
  random: RandomSource,
): BuildRecordSource {
  return { kind: kinds.builds, store, isFirstStart, random };
}

/** Name of the only object. */
const RECORD_NAME = 'main';
/** Pause after the first failed call; doubles with each further failure. */
const FIRST_PAUSE_MS = 200;
const MAXIMUM_PAUSE_MS = 5_000;
const JITTER_SHARE = 0.5;

const recordSchema = z.object({
  services: z.array(z.object({ name: z.string(), builds: z.array(z.string()) })),
});

/** Reads the record at the start of one router, and writes changes of the builds. */
export class BuildRecord {
  /** The builds in the record when it was last read or written; undefined before. */
  private recorded: ServiceBuilds | undefined;
  private hasRead = false;
  private isReading = false;
  private isWriting = false;
  private isStopped = false;
  private failures = 0;
  private timer: Timer | undefined;

  constructor(private readonly parts: BuildRecordParts) {}

  /** Whether the history holds what other routers have seen before this one started. */
  get isKnown(): boolean {
    return this.parts.isFirstStart || this.hasRead;
  }

  /** Reads the record, unless there can't be one; repeated until the store responds. */
  start(): void {
    if (!this.parts.isFirstStart) void this.readAndRepeat();
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /**
   * Writes the builds of the history if they are not those of the record. Never rejects: a failed
   * write is logged, and made again at a later call.
   */
  async update(): Promise<void> {
    const isCurrent = this.recorded && textOf(this.recorded) === textOf(this.parts.history.builds);
    if (isCurrent || this.isWriting || this.isReading || this.isStopped || this.timer) return;
    this.isWriting = true;
    try {
      await this.write();
      this.failures = 0;
    } catch (cause) {
      this.noteFailure('builds_write_failed', cause, () => undefined);
    } finally {
      this.isWriting = false;
    }
  }

  private async write(): Promise<void> {
    const { store, kind, history, logger } = this.parts;
    const present = await this.read();
    const { builds } = history;
    const text = textOf(builds);
    if (this.recorded && textOf(this.recorded) === text) return;
    const spec = specOf(builds);
    const result = present
      ? await store.replace(kind, RECORD_NAME, spec, present.position)
      : await store.create(kind, RECORD_NAME, spec);
    // After a conflict, the next update reads what another router has written.
    if (result.kind === 'written') this.recorded = builds;
    logger.info('builds_recorded', { result: result.kind, builds: text });
  }

  private async readAndRepeat(): Promise<void> {
    if (this.isStopped) return;
    this.isReading = true;
    try {
      await this.read();
      this.failures = 0;
    } catch (cause) {
      this.noteFailure('builds_read_failed', cause, () => void this.readAndRepeat());
    } finally {
      this.isReading = false;
    }
  }

  /** Adds the builds of the record that are new to this router to the history. */
  private async read(): Promise<StoredObject | undefined> {
    const { store, kind, logger } = this.parts;
    const { object } = await store.read(kind, RECORD_NAME);
    if (!object) {
      this.hasRead = true;
      return undefined;
    }
    const parsed = recordSchema.safeParse(object.spec);
    if (!parsed.success) {
      const reason = parsed.error.issues[0]?.message ?? 'unreadable';
      const { revision } = object.position;
      logger.error('object_malformed', { object: RECORD_NAME, kind, revision, reason });
      return object;
    }
    const { services } = parsed.data;
    const builds = new Map(services.map(({ name, builds: each }) => [name, [...each].sort()]));
    this.noteAdded(builds);
    this.hasRead = true;
    this.recorded = builds;
    logger.info('builds_read', { builds: textOf(builds) });
    return object;
  }

  private noteAdded(builds: ServiceBuilds): void {
    const { history, clock } = this.parts;
    for (const [service, names] of builds) {
      const before = this.recorded?.get(service) ?? [];
      for (const build of names)
        if (!before.includes(build)) history.note(service, build, clock.now());
    }
  }

  private noteFailure(event: string, cause: unknown, next: () => void): void {
    const { clock, random, logger } = this.parts;
    this.failures += 1;
    const reason = describeProtocolError(toProtocolError(cause, 'store'));
    logger.warn(event, { reason, failures: this.failures });
    if (this.isStopped) return;
    const pauseMs = Math.min(MAXIMUM_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    this.timer = clock.setTimer(pauseMs * (1 + JITTER_SHARE * random.next()), () => {
      this.timer = undefined;
      next();
    });
  }
}

function specOf(builds: ServiceBuilds): z.infer<typeof recordSchema> {
  const services = [...builds].map(([name, names]) => ({ name, builds: [...names] }));
  return { services };
}

/** The same for the same builds. */
function textOf(builds: ServiceBuilds): string {
  return [...builds]
    .map(([service, names]) => `${service}:${names.join(',')}`)
    .sort()
    .join(' ');
}
