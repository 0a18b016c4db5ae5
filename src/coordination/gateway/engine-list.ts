/** Keeps the registry of engines in step with the store's list. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import { type ObjectDecoder, valueOrLog } from './object-decoder.js';

/** For this long after a failed call, a missing entry may have lapsed with the store. */
const LAPSE_WINDOW_MS = 3_000;
/** Time for an engine to enter again: the platform says about two seconds after the store's return. */
const LONGEST_LAPSE_GRACE_MS = 2_300;
/** Share of the bound on engines that drain that may be waited at most, however short that is. */
const LAPSE_GRACE_SHARE = 0.75;

/** The list of engines as one router follows it. */
export class EngineList {
  private failedMs = -Infinity;
  /** Engines whose entries were missing after the store had been down. */
  private readonly missing = new Set<string>();
  private hasList = false;
  private readonly lapseGraceMs: number;

  constructor(
    private readonly registry: EngineRegistry,
    private readonly decoder: ObjectDecoder,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onChanged: () => void,
    /** Time after which a draining engine must get no new work, in milliseconds. */
    drainMs: number,
  ) {
    this.lapseGraceMs = Math.min(LONGEST_LAPSE_GRACE_MS, drainMs * LAPSE_GRACE_SHARE);
  }

  /** Whether the list has been read once. */
  get isKnown(): boolean {
    return this.hasList;
  }

  /** A call to the store was not answered. */
  noteFailure(): void {
    this.failedMs = this.clock.now();
  }

  /** Takes the whole list. */
  takeAll(objects: readonly StoredObject[]): void {
    const records = objects.flatMap((object) => this.decode(object) ?? []);
    for (const record of records) {
      this.missing.delete(record.id);
      this.registry.put(record);
    }
    const listed = new Set(records.map((record) => record.id));
    for (const id of this.registry.ids) if (!listed.has(id)) this.takeGone(id);
    this.hasList = true;
    this.noteChange('list');
  }

  /** Takes a new or changed entry. */
  take(object: StoredObject): void {
    const record = this.decode(object);
    if (!record) return;
    this.missing.delete(record.id);
    const before = this.registry.find(record.id)?.record;
    this.registry.put(record);
    if (before?.isDraining === record.isDraining) return;
    this.logger.info('engine_changed', {
      engine: record.id,
      service: record.service,
      address: record.address,
      draining: record.isDraining,
      revision: object.revision,
    });
  }

  /**
   * Takes that an entry is gone. Entries may run out while the store is down, though their engines
   * live and enter again with the next heartbeat: what is missing just after such a time is gone only
   * if it stays missing.
   */
  takeGone(id: string): void {
    if (this.clock.now() - this.failedMs >= LAPSE_WINDOW_MS) {
      this.drop(id);
      return;
    }
    this.missing.add(id);
    this.clock.setTimer(this.lapseGraceMs, () => {
      if (this.missing.delete(id)) this.drop(id);
    });
  }

  private decode(object: StoredObject): EngineRecord | undefined {
    return valueOrLog(this.decoder.engine(object), object, this.logger);
  }

  private drop(id: string): void {
    this.registry.remove(id);
    this.noteChange(id);
  }

  private noteChange(cause: string): void {
    this.logger.info('engines_changed', { cause, engines: this.registry.ids.size });
    this.onChanged();
  }
}
