/**
 * The engines of all services, as the platform lists them and as this router has found them: at most one
 * life of each.
 */
import { incarnationOf, isLaterIncarnation, parseIncarnation } from './engine-incarnation.js';
import type { EngineRecord } from './engine-record.js';
import { SupersededIncarnations } from './superseded-incarnations.js';

export type { EngineRecord };

/** An engine as the router sees it. */
export interface Engine {
  record: EngineRecord;
  /** Whether its own entry was taken; else another source has shown it, and its record is a guess. */
  isListed: boolean;
  /** Versions this router knows to be newer than the listed ones, from orders and answers. */
  readonly observedVersions: Map<string, number>;
  /** Orders taken, as the engine itself told; undefined where that must be asked for. */
  observedOrders: number | undefined;
}

/** What became of a record that was put. */
export type PutOutcome =
  /** The life was known, or the engine was not. */
  | { readonly kind: 'stored' }
  /** Another life took the place of the one that was known. */
  | { readonly kind: 'reborn'; readonly former: EngineRecord }
  /** The life is over. */
  | { readonly kind: 'retired' };

/** Retired incarnations remembered; lists drop them within seconds. */
const MAXIMUM_RETIRED = 4_096;

/** Engines by incarnation, grouped by service; one life of each name. */
export class EngineRegistry {
  private readonly engines = new Map<string, Engine>();
  private readonly byName = new Map<string, Engine>();
  private readonly byService = new Map<string, Engine[]>();
  /**
   * Incarnations that were found replaced, whose entry went after they had said that they drain, or that said
   * so while they had none: they never come back, whatever an old entry says.
   */
  private readonly retired = new Set<string>();
  private readonly followed = new SupersededIncarnations();
  private view = 0;

  /** Changes with every change of the list. */
  get version(): number {
    return this.view;
  }

  get ids(): ReadonlySet<string> {
    return new Set(this.engines.keys());
  }

  /** Names of all engines, as the platform lists them. */
  get names(): ReadonlySet<string> {
    return new Set(this.byName.keys());
  }

  find(id: string): Engine | undefined {
    return this.engines.get(id);
  }

  /** The life of an engine that is in the list. */
  findByName(name: string): Engine | undefined {
    return this.byName.get(name);
  }

  /** All engines of a service, the draining ones among them. */
  ofService(service: string): readonly Engine[] {
    return this.byService.get(service) ?? [];
  }

  /** Engines that may be given new work. */
  readyOf(service: string): Engine[] {
    return this.ofService(service).filter((engine) => !engine.record.isDraining);
  }

  /** Every engine that holds a model. */
  holdersOf(model: string): Engine[] {
    return [...this.engines.values()].filter((engine) => engine.record.modelVersions.has(model));
  }

  /** Whether some engine of the services that are meant holds an older version of a model than this one. */
  hasHolderBefore(model: string, version: number, isMeant: (service: string) => boolean): boolean {
    for (const engine of this.engines.values()) {
      if (!engine.record.modelVersions.has(model)) continue;
      if ((versionAt(engine, model) ?? 0) < version && isMeant(engine.record.service)) return true;
    }
    return false;
  }

  /**
   * Takes an engine's newest entry. The caller keeps the store's order: of two lives the one whose entry
   * the store took last is the present one, even if its start is earlier, as after a step of the engine's
   * clock. Entries stay without effect only of a life that was listed itself when the entry of a later
   * start came: the former life's write may be done late. One that an earlier start has followed may have
   * been the present one all along, and one that was never listed may be the later of the two.
   */
  put(record: EngineRecord): PutOutcome {
    if (this.isOver(record.id)) return { kind: 'retired' };
    const present = this.byName.get(record.name);
    const former = present?.record.id === record.id ? undefined : present;
    if (former) {
      this.follow(
        former,
        former.isListed && isLaterIncarnation(record.bornMs, former.record.bornMs),
      );
    }
    this.store(record, true);
    this.regroup();
    return former ? { kind: 'reborn', former: former.record } : { kind: 'stored' };
  }

  /**
   * An engine states another start in its answer to a call that was addressed to a life. Where that is the
   * life in the list, the one that answers is the later one, whatever the starts say: the call began when
   * the listed life was known. Its entries are refused from then on only if the starts agree. An earlier
   * start that was never heard before waits for its entry, unless the listed life is a guess. Answers the
   * life that ended.
   */
  noteAnswer(asked: string, bornMs: number): EngineRecord | undefined {
    const { name } = parseIncarnation(asked);
    const present = this.byName.get(name);
    if (present?.record.id !== asked) return this.noteHearsay(name, bornMs);
    const isLater = isLaterIncarnation(bornMs, present.record.bornMs);
    const isKnown = this.followed.find(incarnationOf(name, bornMs)) !== undefined;
    if (!isLater && !isKnown && present.isListed) return undefined;
    return this.succeed(present, bornMs, isLater);
  }

  /**
   * Another source than the engine or the store's list shows a life: one that was not heard of before and
   * began later takes the place of the listed one, which its next entry or answer brings back. A life that
   * was followed stays where it is: others may speak of it for as long as they have not heard. Answers
   * the life that ended.
   */
  noteHearsay(name: string, bornMs: number): EngineRecord | undefined {
    const present = this.byName.get(name);
    if (!present || !isLaterIncarnation(bornMs, present.record.bornMs)) return undefined;
    if (this.followed.find(incarnationOf(name, bornMs))) return undefined;
    return this.succeed(present, bornMs, false);
  }

  /**
   * An engine said in an answer that it leaves. While the store is out nothing else tells: without this,
   * requests reached an engine 12 s after its word (counted on a day of a seven-router deployment). A life
   * whose entry is missing then does not come back either. Answers whether that was news.
   */
  noteLeaving(id: string): boolean {
    const engine = this.engines.get(id);
    if (!engine) return this.retire(id);
    if (engine.record.isDraining) return false;
    engine.record = { ...engine.record, isDraining: true };
    this.view += 1;
    return true;
  }

  remove(id: string): void {
    const engine = this.engines.get(id);
    if (!engine) return;
    this.endLife(engine.record, engine.record.isDraining);
    this.regroup();
  }

  /** Another engine answered at the engine's address: this life is over. */
  noteReplaced(id: string): boolean {
    const engine = this.engines.get(id);
    if (!engine) return false;
    this.endLife(engine.record, true);
    this.regroup();
    return true;
  }

  private isOver(id: string): boolean {
    return this.retired.has(id) || this.followed.find(id)?.isForGood === true;
  }

  /**
   * A life that was shown by another source than its entry takes a listed one's place. Until its own entry
   * comes, which may last as long as the store is out, it is taken to serve where and what the former one
   * did; an engine has the weights after a restart that it had before, and a request names those it
   * expects. A life that was in the list before has what was known of it.
   */
  private succeed(present: Engine, bornMs: number, isForGood: boolean): EngineRecord {
    const { record } = present;
    const id = incarnationOf(record.name, bornMs);
    this.follow(present, isForGood);
    const known = this.followed.find(id);
    const guess = { ...record, id, bornMs, modelVersions: loadedVersions(present) };
    const mayServe = !this.retired.has(id) && (known !== undefined || !record.isDraining);
    if (mayServe) this.store(known?.record ?? guess, known?.isListed ?? false);
    this.regroup();
    return record;
  }

  /** Another life takes the place of a listed one. */
  private follow(former: Engine, isForGood: boolean): void {
    const record = { ...former.record, modelVersions: loadedVersions(former) };
    this.followed.note({ record, isListed: former.isListed, isForGood });
    this.endLife(record, false);
  }

  private endLife({ id, name }: EngineRecord, isForGood: boolean): void {
    if (isForGood) this.retire(id);
    this.engines.delete(id);
    this.byName.delete(name);
  }

  /** Answers whether the life was not retired before. */
  private retire(id: string): boolean {
    if (this.retired.has(id)) return false;
    if (this.retired.size >= MAXIMUM_RETIRED) this.retired.clear();
    this.retired.add(id);
    return true;
  }

  private store(record: EngineRecord, isListed: boolean): void {
    const present = this.engines.get(record.id);
    const before = this.followed.take(record.id)?.record ?? present?.record;
    // An incarnation that said it drains never takes work again.
    const isDraining = record.isDraining || before?.isDraining === true;
    const stored = { ...record, isDraining };
    if (present) {
      present.record = stored;
      present.isListed ||= isListed;
      return;
    }
    const engine: Engine = {
      record: stored,
      isListed,
      observedVersions: new Map(),
      observedOrders: undefined,
    };
    this.engines.set(record.id, engine);
    this.byName.set(record.name, engine);
  }

  private regroup(): void {
    this.view += 1;
    this.byService.clear();
    for (const engine of this.engines.values()) {
      const group = this.byService.get(engine.record.service);
      if (group) group.push(engine);
      else this.byService.set(engine.record.service, [engine]);
    }
  }
}

/** Versions that an engine was last known to have. */
function loadedVersions(engine: Engine): ReadonlyMap<string, number> {
  const models = [...engine.record.modelVersions.keys()];
  return new Map(models.map((model) => [model, versionAt(engine, model) ?? 0]));
}

/** Version of a model's weights at an engine; the newest of what was listed and what was seen. */
export function versionAt(engine: Engine, model: string): number | undefined {
  const listed = engine.record.modelVersions.get(model);
  const observed = engine.observedVersions.get(model);
  if (listed === undefined) return observed;
  return observed === undefined ? listed : Math.max(listed, observed);
}
