/**
 * The engines of all services, as the platform lists them and as this router has found them: at most one
 * life of each.
 */
import { incarnationOf, isLaterLife } from './engine-incarnation.js';

/** What an engine states of itself. */
export interface EngineRecord {
  /** Incarnation, by `incarnationOf`: the key of all that is remembered of one life. */
  readonly id: string;
  /** The platform's identifier, under which the engine is listed and knows itself in every life. */
  readonly name: string;
  /** Start of this life in Unix milliseconds; undefined where the entry does not state it. */
  readonly bornMs: number | undefined;
  readonly service: string;
  /** HOST:PORT; may have belonged to another engine before. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Version of the weights by model. */
  readonly modelVersions: ReadonlyMap<string, number>;
}

/** An engine as the router sees it. */
export interface Engine {
  record: EngineRecord;
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
   * Incarnations that were found replaced, that a later life has followed, or whose entry went after they
   * had said that they drain: they never come back, whatever an old entry says.
   */
  private readonly retired = new Set<string>();
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

  /**
   * Takes an engine's newest entry. The caller keeps the store's order: of two lives the one whose entry
   * the store took last is the present one, even if its start is earlier, as after a step of the engine's
   * clock. Only a life that a later start has followed stays away for good; one that an earlier start has
   * followed may have been the present one all along, and come back.
   */
  put(record: EngineRecord): PutOutcome {
    if (this.retired.has(record.id)) return { kind: 'retired' };
    const former = this.byName.get(record.name)?.record;
    const isReborn = former !== undefined && former.id !== record.id;
    if (isReborn) this.endLife(former, isLaterLife(record.bornMs, former.bornMs));
    this.store(record);
    this.regroup();
    return isReborn ? { kind: 'reborn', former } : { kind: 'stored' };
  }

  /**
   * Another source than the store's list shows a life of an engine: a later one ends the one in the list.
   * Until its own entry comes, which may last as long as the store is out, it is taken to serve where and
   * what the former one did; an engine has the weights after a restart that it had before, and a request
   * names those it expects. Answers the life that ended.
   */
  noteLife(name: string, bornMs: number): EngineRecord | undefined {
    const former = this.byName.get(name);
    if (!former || !isLaterLife(bornMs, former.record.bornMs)) return undefined;
    const { record } = former;
    this.endLife(record, true);
    const id = incarnationOf(name, bornMs);
    const mayServe = !record.isDraining && !this.retired.has(id);
    if (mayServe) this.store({ ...record, id, bornMs, modelVersions: loadedVersions(former) });
    this.regroup();
    return record;
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

  private endLife({ id, name }: EngineRecord, isForGood: boolean): void {
    if (isForGood) this.retire(id);
    this.engines.delete(id);
    this.byName.delete(name);
  }

  private retire(id: string): void {
    if (this.retired.size >= MAXIMUM_RETIRED) this.retired.clear();
    this.retired.add(id);
  }

  private store(record: EngineRecord): void {
    const present = this.engines.get(record.id);
    if (!present) {
      const engine = { record, observedVersions: new Map(), observedOrders: undefined };
      this.engines.set(record.id, engine);
      this.byName.set(record.name, engine);
      return;
    }
    // An incarnation that said it drains never takes work again.
    const isDraining = record.isDraining || present.record.isDraining;
    present.record = { ...record, isDraining };
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
