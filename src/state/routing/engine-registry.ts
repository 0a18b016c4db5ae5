/**
 * Registry of the engines of all services, from the platform's list and from the observations of
 * this router. It holds at most one incarnation of each engine.
 */
import { incarnationOf, isLaterIncarnation, parseIncarnation } from './engine-incarnation.js';
import type { EngineRecord } from './engine-record.js';
import { SupersededIncarnations } from './superseded-incarnations.js';

export type { EngineRecord };

/** An engine and what this router has observed about it. */
export interface Engine {
  record: EngineRecord;
  /** Whether its store entry was received; otherwise the record is inferred. */
  isListed: boolean;
  /**
   * Weight versions observed in load commands and responses, which may be newer than the listed
   * ones.
   */
  readonly observedVersions: Map<string, number>;
  /**
   * Number of load commands applied, as reported by the engine; undefined if it must be queried.
   */
  observedLoadCommands: number | undefined;
}

/** Result of storing a record. */
export type PutOutcome =
  /** The incarnation was already registered, or the engine is new. */
  | { readonly kind: 'stored' }
  /** Another incarnation replaced the registered one. */
  | { readonly kind: 'restarted'; readonly previous: EngineRecord }
  /** The incarnation has ended; the record was ignored. */
  | { readonly kind: 'retired' };

/** Maximum retired incarnations remembered; engine lists drop them within seconds. */
const MAXIMUM_RETIRED = 4_096;

/** Engines by incarnation, grouped by service; at most one incarnation per name. */
export class EngineRegistry {
  private readonly engines = new Map<string, Engine>();
  private readonly byName = new Map<string, Engine>();
  private readonly byService = new Map<string, Engine[]>();
  /**
   * Incarnations that never return, even if a stale entry lists them: those found replaced, and
   * those that drained and then lost their entry, or drained without one.
   */
  private readonly retired = new Set<string>();
  private readonly superseded = new SupersededIncarnations();
  private changeCount = 0;

  /** Changes whenever the registry changes. */
  get version(): number {
    return this.changeCount;
  }

  get ids(): ReadonlySet<string> {
    return new Set(this.engines.keys());
  }

  /** Records of all engines. */
  get records(): EngineRecord[] {
    return [...this.engines.values()].map(({ record }) => record);
  }

  /** Records of all engines that accept new work. */
  get readyRecords(): EngineRecord[] {
    return this.records.filter(({ isDraining }) => !isDraining);
  }

  /** Incarnations of the engines that accept new work, by service. */
  get readyIdsByService(): string[][] {
    return [...this.byService.keys()].map((service) =>
      this.readyOf(service).map(({ record }) => record.id),
    );
  }

  /** Names of all engines. */
  get names(): ReadonlySet<string> {
    return new Set(this.byName.keys());
  }

  find(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  /** The registered incarnation of an engine. */
  findByName(name: string): Engine | undefined {
    return this.byName.get(name);
  }

  /** All engines of a service, including draining ones. */
  ofService(service: string): readonly Engine[] {
    return this.byService.get(service) ?? [];
  }

  /** Engines of a service that accept new work. */
  readyOf(service: string): Engine[] {
    return this.ofService(service).filter((engine) => !engine.record.isDraining);
  }

  /** All engines that hold a model. */
  holdersOf(model: string): Engine[] {
    return [...this.engines.values()].filter((engine) => engine.record.modelVersions.has(model));
  }

  /** Whether an engine of a matching service holds an older version of a model. */
  hasOlderHolder(model: string, version: number, matches: (service: string) => boolean): boolean {
    for (const engine of this.engines.values()) {
      if (!engine.record.modelVersions.has(model)) continue;
      if ((versionAt(engine, model) ?? 0) < version && matches(engine.record.service)) return true;
    }
    return false;
  }

  /**
   * Stores the newest entry of an engine. Callers must pass the entries in the order in which they
   * were written to the store. Of two incarnations, the one whose entry was written last is the
   * current one, even if its start time is earlier, for example after its clock was set back. After
   * an entry with a later start replaced a listed incarnation, entries of the replaced one are
   * ignored, since its last write may complete late. Entries of an incarnation that was never
   * listed, or that was superseded by one with an earlier start, are still stored.
   *
   * @param provesRestart whether a later start in this entry proves that the listed incarnation has
   *   ended; entries of the listed incarnation are stored again otherwise
   */
  put(record: EngineRecord, provesRestart = true): PutOutcome {
    if (this.isEnded(record.id)) return { kind: 'retired' };
    const current = this.byName.get(record.name);
    const previous = current?.record.id === record.id ? undefined : current;
    if (previous) {
      const isLater = isLaterIncarnation(record.startedAtMs, previous.record.startedAtMs);
      this.supersede(previous, provesRestart && previous.isListed && isLater);
    }
    this.storeRecord(record, true);
    this.regroup();
    return previous ? { kind: 'restarted', previous: previous.record } : { kind: 'stored' };
  }

  /**
   * Records that a response to a call addressed to one incarnation came from another. If the call
   * was addressed to the registered incarnation, the responder is the newer one regardless of start
   * times, because the call began when the registered incarnation was known. Entries of the
   * registered incarnation are then ignored only if the start times confirm this order. An unknown
   * incarnation with an earlier start is not registered before its store entry arrives, unless the
   * registered one is inferred. Returns the record of the incarnation that ended.
   */
  recordResponse(expectedId: string, startedAtMs: number): EngineRecord | undefined {
    const { name } = parseIncarnation(expectedId);
    const current = this.byName.get(name);
    if (current?.record.id !== expectedId) return this.recordReportedIncarnation(name, startedAtMs);
    const isLater = isLaterIncarnation(startedAtMs, current.record.startedAtMs);
    const isKnown = this.superseded.find(incarnationOf(name, startedAtMs)) !== undefined;
    if (!isLater && !isKnown && current.isListed) return undefined;
    return this.startIncarnation(current, startedAtMs, isLater);
  }

  /**
   * Records an incarnation reported by a source other than the engine or the store. An unknown
   * incarnation with a later start replaces the registered one, which its next entry or response
   * restores. A superseded incarnation is not restored, since others may report it until they learn
   * of its successor. Returns the record of the incarnation that ended.
   */
  recordReportedIncarnation(name: string, startedAtMs: number): EngineRecord | undefined {
    const current = this.byName.get(name);
    if (!current || !isLaterIncarnation(startedAtMs, current.record.startedAtMs)) return undefined;
    if (this.superseded.find(incarnationOf(name, startedAtMs))) return undefined;
    return this.startIncarnation(current, startedAtMs, false);
  }

  /**
   * Records that an engine announced its shutdown in a response, which may be the only indication
   * during a store outage. An incarnation without an entry is retired. Returns whether this was
   * unknown.
   */
  noteLeaving(id: string): boolean {
    const engine = this.engines.get(id);
    if (!engine) return this.retire(id);
    if (engine.record.isDraining) return false;
    engine.record = { ...engine.record, isDraining: true };
    this.changeCount += 1;
    return true;
  }

  remove(id: string): void {
    const engine = this.engines.get(id);
    if (!engine) return;
    this.removeIncarnation(engine.record, engine.record.isDraining);
    this.regroup();
  }

  /**
   * Records that another engine responded at the engine's address, so this incarnation has ended.
   */
  noteReplaced(id: string): boolean {
    const engine = this.engines.get(id);
    if (!engine) return false;
    this.removeIncarnation(engine.record, true);
    this.regroup();
    return true;
  }

  private isEnded(id: string): boolean {
    return this.retired.has(id) || this.superseded.find(id)?.isPermanent === true;
  }

  /**
   * Replaces the registered incarnation by one that was observed before its store entry arrived.
   * Until then, the new incarnation is assumed to have the address, service and weights of the
   * previous one: an engine loads the same weights after a restart, and requests state the version
   * they expect. A superseded incarnation keeps its earlier record.
   */
  private startIncarnation(
    current: Engine,
    startedAtMs: number,
    isPermanent: boolean,
  ): EngineRecord {
    const { record } = current;
    const id = incarnationOf(record.name, startedAtMs);
    this.supersede(current, isPermanent);
    const known = this.superseded.find(id);
    const inferred = {
      ...record,
      id,
      startedAtMs,
      // The engine may have restarted with other software.
      build: undefined,
      modelVersions: loadedVersions(current),
    };
    const mayServe = !this.retired.has(id) && (known !== undefined || !record.isDraining);
    if (mayServe) this.storeRecord(known?.record ?? inferred, known?.isListed ?? false);
    this.regroup();
    return record;
  }

  /** Moves a registered incarnation to the superseded ones. */
  private supersede(previous: Engine, isPermanent: boolean): void {
    const record = { ...previous.record, modelVersions: loadedVersions(previous) };
    this.superseded.add({ record, isListed: previous.isListed, isPermanent });
    this.removeIncarnation(record, false);
  }

  private removeIncarnation({ id, name }: EngineRecord, isPermanent: boolean): void {
    if (isPermanent) this.retire(id);
    this.engines.delete(id);
    this.byName.delete(name);
  }

  /** Returns whether the incarnation was not retired before. */
  private retire(id: string): boolean {
    if (this.retired.has(id)) return false;
    if (this.retired.size >= MAXIMUM_RETIRED) this.retired.clear();
    this.retired.add(id);
    return true;
  }

  private storeRecord(record: EngineRecord, isListed: boolean): void {
    const current = this.engines.get(record.id);
    const earlierRecord = this.superseded.remove(record.id)?.record ?? current?.record;
    // A draining incarnation never accepts work again.
    const isDraining = record.isDraining || earlierRecord?.isDraining === true;
    const stored = { ...record, isDraining };
    if (current) {
      current.record = stored;
      current.isListed ||= isListed;
      return;
    }
    const engine: Engine = {
      record: stored,
      isListed,
      observedVersions: new Map(),
      observedLoadCommands: undefined,
    };
    this.engines.set(record.id, engine);
    this.byName.set(record.name, engine);
  }

  private regroup(): void {
    this.changeCount += 1;
    this.byService.clear();
    for (const engine of this.engines.values()) {
      const group = this.byService.get(engine.record.service);
      if (group) group.push(engine);
      else this.byService.set(engine.record.service, [engine]);
    }
  }
}

/** Last known weight versions of an engine. */
function loadedVersions(engine: Engine): ReadonlyMap<string, number> {
  const models = [...engine.record.modelVersions.keys()];
  return new Map(models.map((model) => [model, versionAt(engine, model) ?? 0]));
}

/** Weight version of a model at an engine: the newer of the listed and the observed one. */
export function versionAt(engine: Engine, model: string): number | undefined {
  const listed = engine.record.modelVersions.get(model);
  const observed = engine.observedVersions.get(model);
  if (listed === undefined) return observed;
  return observed === undefined ? listed : Math.max(listed, observed);
}
