/** Simulated object store of the platform, with outages, slow lists and lost responses. */
import type { Clock } from '../../runtime/clock.js';

const FIRST_REVISION = 1;

/** An object in the store. */
export interface SimulatedObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly spec: unknown;
}

/** A change of one object. */
export interface HistoryEntry {
  readonly kind: string;
  readonly object: SimulatedObject;
  readonly isGone: boolean;
  readonly revision: number;
  readonly atMs: number;
}

/** Fault of a write. */
export type WriteFault = 'answer-lost' | 'late';

/** The store, shared by all routers, the engines and the operator. */
export class SimulatedObjectStore {
  private readonly kinds = new Map<string, Map<string, SimulatedObject>>();
  private history: HistoryEntry[] = [];
  /** All changes since the start, including those that were compacted from the history. */
  private changes: HistoryEntry[] = [];
  private readonly waiting = new Set<() => void>();
  private latest = FIRST_REVISION;
  private oldestKnown = 0;
  private currentEra = 1;
  isDown = false;
  /** Whether every call is rejected immediately as busy. */
  isBusy = false;
  /** Whether writes of routers are rejected as busy; those of engines and the operator are not. */
  refusesWrites = false;
  /** Number of calls through ports, including failed ones. */
  calls = 0;
  /** Routers that can't reach the store. */
  readonly unreachableFor = new Set<string>();
  readonly writeFaults: WriteFault[] = [];
  /** Faults of the next writes of one kind, before those of all kinds. */
  readonly kindWriteFaults = new Map<string, (WriteFault | undefined)[]>();
  /** Additional delays of the next list responses, in milliseconds. */
  readonly listDelaysMs: number[] = [];

  constructor(readonly clock: Clock) {}

  get revision(): number {
    return this.latest;
  }

  /** Increases with each restoration from an older copy. */
  get era(): number {
    return this.currentEra;
  }

  /** Writes unconditionally, as the operator and the engines do. */
  put(kind: string, name: string, spec: unknown): void {
    this.latest += 1;
    const object = { name, revision: this.latest, spec };
    this.objectsOf(kind).set(name, object);
    this.record({ kind, object, isGone: false, revision: this.latest, atMs: this.clock.now() });
  }

  remove(kind: string, name: string): void {
    const object = this.objectsOf(kind).get(name);
    if (!object) return;
    this.latest += 1;
    this.objectsOf(kind).delete(name);
    this.record({ kind, object, isGone: true, revision: this.latest, atMs: this.clock.now() });
  }

  get(kind: string, name: string): SimulatedObject | undefined {
    return this.objectsOf(kind).get(name);
  }

  all(kind: string): SimulatedObject[] {
    return [...this.objectsOf(kind).values()];
  }

  /** Ends all faults. */
  heal(): void {
    this.isDown = false;
    this.refusesWrites = false;
    this.unreachableFor.clear();
    this.writeFaults.length = 0;
    this.kindWriteFaults.clear();
    this.listDelaysMs.length = 0;
  }

  /** Drops the history, so that watchers must list again. */
  compact(): void {
    this.history = [];
    this.oldestKnown = this.latest;
    this.wake();
  }

  /**
   * Restores the copy made at `copiedMs`: later writes are lost, and their revisions are assigned
   * again.
   */
  restore(copiedMs: number): void {
    this.currentEra += 1;
    this.changes = this.changes.filter(({ atMs }) => atMs <= copiedMs);
    this.latest = this.changes.at(-1)?.revision ?? FIRST_REVISION;
    this.oldestKnown = Math.min(this.oldestKnown, this.latest);
    this.history = this.history.filter(({ revision }) => revision <= this.latest);
    this.kinds.clear();
    for (const { kind, object, isGone } of this.changes) {
      if (isGone) this.objectsOf(kind).delete(object.name);
      else this.objectsOf(kind).set(object.name, object);
    }
    this.wake();
  }

  changesAfter(kind: string, revision: number): HistoryEntry[] | undefined {
    if (revision < this.oldestKnown || revision > this.latest) return undefined;
    return this.history.filter((entry) => entry.kind === kind && entry.revision > revision);
  }

  /** Calls back on each change or compaction, until the returned function is called. */
  onChange(callback: () => void): () => void {
    this.waiting.add(callback);
    return () => this.waiting.delete(callback);
  }

  private objectsOf(kind: string): Map<string, SimulatedObject> {
    let objects = this.kinds.get(kind);
    if (!objects) {
      objects = new Map();
      this.kinds.set(kind, objects);
    }
    return objects;
  }

  private record(entry: HistoryEntry): void {
    this.history.push(entry);
    this.changes.push(entry);
    this.wake();
  }

  private wake(): void {
    for (const callback of [...this.waiting]) callback();
  }
}
