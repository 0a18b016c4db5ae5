/** The engines of all services, as the platform lists them and as this router has found them. */

/** What an engine states of itself. */
export interface EngineRecord {
  /** Incarnation; a restarted engine has another. */
  readonly id: string;
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

/** Retired incarnations remembered; lists drop them within seconds. */
const MAXIMUM_RETIRED = 4_096;

/** Engines by incarnation, grouped by service. */
export class EngineRegistry {
  private readonly engines = new Map<string, Engine>();
  private readonly byService = new Map<string, Engine[]>();
  /**
   * Incarnations that were found replaced, or whose entry went after they had said that they drain: they
   * never come back, whatever an old entry says.
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

  find(id: string): Engine | undefined {
    return this.engines.get(id);
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

  put(record: EngineRecord): void {
    if (this.retired.has(record.id)) return;
    this.store(record);
    this.regroup();
  }

  remove(id: string): void {
    if (this.engines.get(id)?.record.isDraining) this.retire(id);
    if (this.engines.delete(id)) this.regroup();
  }

  /** Another incarnation answered at the engine's address: this one is gone for good. */
  noteReplaced(id: string): boolean {
    if (!this.engines.has(id)) return false;
    this.retire(id);
    this.remove(id);
    return true;
  }

  private retire(id: string): void {
    if (this.retired.size >= MAXIMUM_RETIRED) this.retired.clear();
    this.retired.add(id);
  }

  private store(record: EngineRecord): void {
    const present = this.engines.get(record.id);
    if (!present) {
      this.engines.set(record.id, {
        record,
        observedVersions: new Map(),
        observedOrders: undefined,
      });
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

/** Version of a model's weights at an engine; the newest of what was listed and what was seen. */
export function versionAt(engine: Engine, model: string): number | undefined {
  const listed = engine.record.modelVersions.get(model);
  const observed = engine.observedVersions.get(model);
  if (listed === undefined) return observed;
  return observed === undefined ? listed : Math.max(listed, observed);
}
