/** Synchronizes the engine registry with the store's list of engines. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { StorePosition } from '../../runtime/store-position.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { EngineIncarnationTracker } from './engine-incarnation-tracker.js';
import type { ObjectDecoder } from './object-decoder.js';
import type { MalformedEntries } from './malformed-entries.js';
import { RestoredEntries } from './restored-entries.js';

/** For this long after a failed call, a missing entry may have lapsed because of the outage. */
const LAPSE_WINDOW_MS = 3_000;
/** Time for an engine to write its entry again after an outage; engines need about two seconds. */
const MAXIMUM_LAPSE_GRACE_MS = 2_300;
/** Upper limit of the grace period, as a share of the drain deadline. */
const LAPSE_GRACE_SHARE = 0.75;

/**
 * Entries whose newest position is remembered, including removed ones; far more than are listed.
 */
const MAXIMUM_POSITIONS = 8_192;

/** Dependencies and settings of {@link EngineList}. */
export interface EngineListParts {
  readonly registry: EngineRegistry;
  readonly incarnations: EngineIncarnationTracker;
  readonly malformed: MalformedEntries;
  readonly decoder: ObjectDecoder;
  readonly clock: Clock;
  readonly logger: Logger;
  onChanged(): void;
  /** Called with the last record of an engine whose entry was removed from the store. */
  onLapsed(record: EngineRecord): void;
  /**
   * Whether the configuration has a service of this name; true while no configuration is loaded.
   */
  isKnownService(service: string): boolean;
  /** Time after which a draining engine must not receive new requests, in milliseconds. */
  readonly drainMs: number;
  /** Time after which an entry lapses if its engine doesn't write it again, in milliseconds. */
  readonly entryLifetimeMs: number;
}

/** The list of engines as observed by one router. */
export class EngineList {
  private lastFailureMs = -Infinity;
  /** Incarnations whose entries were missing after an outage of the store, by engine name. */
  private readonly missing = new Map<string, string>();
  /** Position of the newest applied entry, by name; an older one that arrives late is dropped. */
  private readonly positions = new Map<string, StorePosition>();
  /** Names of engines that stated a start time; a later entry without one is malformed. */
  private readonly namesWithStart = new Set<string>();
  private readonly restored: RestoredEntries;
  private hasList = false;
  private readonly lapseGraceMs: number;

  constructor(private readonly parts: EngineListParts) {
    this.lapseGraceMs = Math.min(MAXIMUM_LAPSE_GRACE_MS, parts.drainMs * LAPSE_GRACE_SHARE);
    this.restored = new RestoredEntries({
      ...parts,
      release: (entry) => {
        this.applyEntry(entry);
        this.noteChange('held-back');
      },
    });
  }

  /** Whether the list has been read at least once. */
  get isKnown(): boolean {
    return this.hasList;
  }

  /** Records a failed call to the store. */
  noteFailure(): void {
    this.lastFailureMs = this.parts.clock.now();
  }

  /**
   * Handles that the store was restored from an older copy of itself. Entries written after the
   * copy was made are missing until their engines write them again.
   */
  noteRestored(): void {
    this.lastFailureMs = this.parts.clock.now();
    this.restored.noteRestored();
  }

  /** Applies the complete list. */
  applyAll(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => name));
    for (const object of objects) this.applyEntry(object);
    for (const name of this.parts.registry.names) if (!listed.has(name)) this.applyRemoval(name);
    for (const name of this.positions.keys()) if (!listed.has(name)) this.forgetEntry(name);
    this.hasList = true;
    this.restored.noteListed();
    this.noteChange('list');
  }

  /** Applies a new or changed entry. */
  apply(object: StoredObject): void {
    const before = this.parts.registry.findByName(object.name)?.record;
    const record = this.applyEntry(object);
    if (!record) return;
    if (before?.id === record.id && before.isDraining === record.isDraining) return;
    this.parts.logger.info('engine_changed', {
      engine: record.id,
      service: record.service,
      address: record.address,
      draining: record.isDraining,
      era: object.position.era,
      revision: object.position.revision,
    });
  }

  /**
   * Applies the removal of an entry. Entries may lapse during an outage of the store although their
   * engines are running and write them again with the next heartbeat. An entry that is missing soon
   * after an outage is therefore removed only if it stays missing.
   *
   * @param position position of the removed entry; an entry applied at a later position stays
   */
  applyRemoval(name: string, position?: StorePosition): void {
    const { clock } = this.parts;
    if (position?.isBefore(this.newestOf(name))) return;
    this.restored.drop(name);
    const incarnation = this.currentIncarnation(name);
    if (incarnation === undefined) return;
    if (clock.now() - this.lastFailureMs >= LAPSE_WINDOW_MS) {
      this.recordRemoval(incarnation);
      return;
    }
    this.missing.set(name, incarnation);
    clock.setTimer(this.lapseGraceMs, () => {
      if (this.missing.get(name) !== incarnation) return;
      this.missing.delete(name);
      const present = this.currentIncarnation(name);
      if (present !== undefined) this.recordRemoval(present);
    });
  }

  /** The listed incarnation; may be later than that of the entry if another source revealed it. */
  private currentIncarnation(name: string): string | undefined {
    return this.parts.registry.findByName(name)?.record.id;
  }

  /** Returns the applied record; undefined if the entry names no usable engine. */
  private applyEntry(object: StoredObject): EngineRecord | undefined {
    const { name, position } = object;
    const newest = this.newestOf(name);
    if (position.isBefore(newest)) {
      this.parts.logger.info('engine_entry_outdated', {
        engine: name,
        position: String(position),
        newest_position: String(newest),
      });
      return undefined;
    }
    this.remember(name, position);
    const decoded = this.parts.decoder.engine(object);
    if (decoded.kind === 'unused') return undefined;
    const defect = decoded.kind === 'malformed' ? decoded.reason : this.defectOf(decoded.value);
    if (decoded.kind === 'malformed' || defect !== undefined) {
      this.handleMalformed(object, defect ?? '');
      return undefined;
    }
    const record = decoded.value;
    const isServiceKnown = this.parts.isKnownService(record.service);
    if (!isServiceKnown) this.reportUnknownService(object, record);
    if (this.restored.holdsBack(object, record.id)) return undefined;
    this.missing.delete(name);
    const outcome = this.parts.incarnations.applyEntry(record, isServiceKnown);
    return outcome.kind === 'retired' ? undefined : this.parts.registry.find(record.id)?.record;
  }

  /**
   * Returns the defect of an entry: once an engine has stated its start time, it must always do so.
   */
  private defectOf({ name, startedAtMs }: EngineRecord): string | undefined {
    if (startedAtMs !== undefined) this.namesWithStart.add(name);
    else if (this.namesWithStart.has(name)) return 'start of the engine: missing';
    return undefined;
  }

  private newestOf(name: string): StorePosition {
    return this.positions.get(name) ?? StorePosition.start;
  }

  private remember(name: string, position: StorePosition): void {
    this.positions.delete(name);
    this.positions.set(name, position);
    if (this.positions.size <= MAXIMUM_POSITIONS) return;
    const [oldest] = this.positions.keys();
    if (oldest !== undefined) this.forgetEntry(oldest);
  }

  private forgetEntry(name: string): void {
    this.positions.delete(name);
    this.namesWithStart.delete(name);
  }

  /** Removes the engine until its next valid entry; its running requests continue. */
  private handleMalformed({ name, position }: StoredObject, reason: string): void {
    this.parts.malformed.report(name, position, reason);
    this.missing.delete(name);
    const present = this.currentIncarnation(name);
    if (present !== undefined) this.drop(present);
  }

  /** Reports an unconfigured service; its engines get no requests and no load commands. */
  private reportUnknownService({ name, position }: StoredObject, { service }: EngineRecord): void {
    this.parts.malformed.report(name, position, `service ${service}: not in the configuration`);
  }

  private recordRemoval(id: string): void {
    const record = this.parts.registry.find(id)?.record;
    this.restored.recordRemoved(id);
    this.drop(id);
    if (record) this.parts.onLapsed(record);
  }

  private drop(id: string): void {
    this.parts.registry.remove(id);
    this.noteChange(id);
  }

  private noteChange(cause: string): void {
    const { registry, logger, onChanged } = this.parts;
    logger.info('engines_changed', { cause, engines: registry.ids.size });
    onChanged();
  }
}
