/** Keeps the registry of engines in step with the store's list. */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { StorePosition } from '../../runtime/store-position.js';
import type { StoredObject } from '../../protocol/object-store/port.js';
import type { EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { EngineIncarnationTracker } from './engine-incarnation-tracker.js';
import type { ObjectDecoder } from './object-decoder.js';
import type { MalformedEntries } from './malformed-entries.js';
import { RestoredEntries } from './restored-entries.js';

/** For this long after a failed call, a missing entry may have lapsed with the store. */
const LAPSE_WINDOW_MS = 3_000;
/** Time for an engine to enter again: the platform says about two seconds after the store's return. */
const LONGEST_LAPSE_GRACE_MS = 2_300;
/** Share of the bound on engines that drain that may be waited at most, however short that is. */
const LAPSE_GRACE_SHARE = 0.75;

/** Entries whose newest position is remembered, those that are gone among them; far more than are listed. */
const MAXIMUM_POSITIONS = 8_192;

/** What the list works with. */
export interface EngineListParts {
  readonly registry: EngineRegistry;
  readonly lives: EngineIncarnationTracker;
  readonly odd: MalformedEntries;
  readonly decoder: ObjectDecoder;
  readonly clock: Clock;
  readonly logger: Logger;
  onChanged(): void;
  /** Whether the configuration has a service of this name; true while there is no configuration. */
  isKnownService(service: string): boolean;
  /** Time after which a draining engine must get no new work, in milliseconds. */
  readonly drainMs: number;
  /** An engine's entry that its engine does not write for so long lapses, in milliseconds. */
  readonly entryLifetimeMs: number;
}

/** The list of engines as one router follows it. */
export class EngineList {
  private failedMs = -Infinity;
  /** Engines whose entries were missing after the store had been down, and the lives that are meant. */
  private readonly missing = new Map<string, string>();
  /** Position of the newest entry that was taken, by name: an older one that comes late is dropped. */
  private readonly positions = new Map<string, StorePosition>();
  /** Names whose engines have stated their start: an entry without one is of another writer. */
  private readonly dated = new Set<string>();
  private readonly restored: RestoredEntries;
  private hasList = false;
  private readonly lapseGraceMs: number;

  constructor(private readonly parts: EngineListParts) {
    this.lapseGraceMs = Math.min(LONGEST_LAPSE_GRACE_MS, parts.drainMs * LAPSE_GRACE_SHARE);
    this.restored = new RestoredEntries({
      ...parts,
      release: (entry) => {
        this.takeEntry(entry);
        this.noteChange('held-back');
      },
    });
  }

  /** Whether the list has been read once. */
  get isKnown(): boolean {
    return this.hasList;
  }

  /** A call to the store was not answered. */
  noteFailure(): void {
    this.failedMs = this.parts.clock.now();
  }

  /**
   * The store is back from an older copy of itself. Entries that were written since that was made are missing until
   * their engines write them again.
   */
  noteRestored(): void {
    this.failedMs = this.parts.clock.now();
    this.restored.noteRestored();
  }

  /** Takes the whole list. */
  takeAll(objects: readonly StoredObject[]): void {
    const listed = new Set(objects.map(({ name }) => name));
    for (const object of objects) this.takeEntry(object);
    for (const name of this.parts.registry.names) if (!listed.has(name)) this.takeGone(name);
    for (const name of this.positions.keys()) if (!listed.has(name)) this.forgetEntry(name);
    this.hasList = true;
    this.restored.noteListed();
    this.noteChange('list');
  }

  /** Takes a new or changed entry. */
  take(object: StoredObject): void {
    const before = this.parts.registry.findByName(object.name)?.record;
    const record = this.takeEntry(object);
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
   * Takes that an entry is gone. Entries may run out while the store is down, though their engines
   * live and enter again with the next heartbeat: what is missing just after such a time is gone only
   * if it stays missing.
   *
   * @param position of the entry that went; one that was taken later is another's and stays
   */
  takeGone(name: string, position?: StorePosition): void {
    const { clock } = this.parts;
    if (position?.isBefore(this.newestOf(name))) return;
    this.restored.drop(name);
    const meant = this.presentLife(name);
    if (meant === undefined) return;
    if (clock.now() - this.failedMs >= LAPSE_WINDOW_MS) {
      this.dropGone(meant);
      return;
    }
    this.missing.set(name, meant);
    clock.setTimer(this.lapseGraceMs, () => {
      if (this.missing.get(name) !== meant) return;
      this.missing.delete(name);
      const present = this.presentLife(name);
      if (present !== undefined) this.dropGone(present);
    });
  }

  /** Whichever life is in the list: another source may have shown a later one than its entry did. */
  private presentLife(name: string): string | undefined {
    return this.parts.registry.findByName(name)?.record.id;
  }

  /** Answers the record that was taken; undefined where the entry names no engine to use. */
  private takeEntry(object: StoredObject): EngineRecord | undefined {
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
    const fault = decoded.kind === 'malformed' ? decoded.reason : this.faultOf(decoded.value);
    if (decoded.kind === 'malformed' || fault !== undefined) {
      this.takeOdd(object, fault ?? '');
      return undefined;
    }
    const record = decoded.value;
    this.noteUnknownService(object, record);
    if (this.restored.holdsBack(object, record.id)) return undefined;
    this.missing.delete(name);
    const outcome = this.parts.lives.takeEntry(record);
    return outcome.kind === 'retired' ? undefined : this.parts.registry.find(record.id)?.record;
  }

  /** An engine that states its start states it in every entry. */
  private faultOf({ name, bornMs }: EngineRecord): string | undefined {
    if (bornMs !== undefined) this.dated.add(name);
    else if (this.dated.has(name)) return 'start of the engine: missing';
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
    this.dated.delete(name);
  }

  /** The engine is gone for new work until its next good entry; what runs there goes on. */
  private takeOdd({ name, position }: StoredObject, reason: string): void {
    this.parts.odd.note(name, position, reason);
    this.missing.delete(name);
    const present = this.presentLife(name);
    if (present !== undefined) this.drop(present);
  }

  /** No route leads to such an engine, and it gets no orders until the service is configured. */
  private noteUnknownService({ name, position }: StoredObject, { service }: EngineRecord): void {
    if (this.parts.isKnownService(service)) return;
    this.parts.odd.note(name, position, `service ${service}: not in the configuration`);
  }

  private dropGone(id: string): void {
    this.restored.noteGone(id);
    this.drop(id);
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
