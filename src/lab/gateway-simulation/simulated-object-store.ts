/** A stand-in of the platform's object store that can be down, slow to some, and lose answers. */
import type { Clock } from '../../runtime/clock.js';

const FIRST_REVISION = 1;

/** An object as it lies in the store. */
export interface HeldObject {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly spec: unknown;
}

/** A change of one object. */
export interface HistoryEntry {
  readonly kind: string;
  readonly object: HeldObject;
  readonly isGone: boolean;
  readonly revision: number;
  readonly atMs: number;
}

/** What becomes of the next writes. */
export type WriteFault = 'answer-lost' | 'late';

/** The store itself; shared by all routers and the operator. */
export class SimulatedObjectStore {
  private readonly kinds = new Map<string, Map<string, HeldObject>>();
  private history: HistoryEntry[] = [];
  /** All changes since the store was made, whatever the history has forgotten. */
  private changes: HistoryEntry[] = [];
  private readonly waiting = new Set<() => void>();
  private latest = FIRST_REVISION;
  private oldestKnown = 0;
  private presentEra = 1;
  isDown = false;
  /** Refuses every call at once, as a store does that is busy. */
  isBusy = false;
  /** Calls that came, answered or not. */
  calls = 0;
  /** Routers that get no answer. */
  readonly unreachableFor = new Set<string>();
  readonly writeFaults: WriteFault[] = [];
  /** How much longer the answers to the next lists take, in milliseconds. */
  readonly listDelaysMs: number[] = [];

  constructor(readonly clock: Clock) {}

  get revision(): number {
    return this.latest;
  }

  /** Rises each time that the store comes back from an older copy of itself. */
  get era(): number {
    return this.presentEra;
  }

  /** Writes without a condition, as the operator and the engines do. */
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

  get(kind: string, name: string): HeldObject | undefined {
    return this.objectsOf(kind).get(name);
  }

  all(kind: string): HeldObject[] {
    return [...this.objectsOf(kind).values()];
  }

  /** Forgets the history, so that watches must list again. */
  compact(): void {
    this.history = [];
    this.oldestKnown = this.latest;
    this.wake();
  }

  /**
   * The store is back from the copy that was made at a moment: what was written later is gone, and its
   * revisions are given out again.
   */
  restore(copiedMs: number): void {
    this.presentEra += 1;
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

  /** Calls back at the next change or compaction; the result ends the wait. */
  onChange(callback: () => void): () => void {
    this.waiting.add(callback);
    return () => this.waiting.delete(callback);
  }

  private objectsOf(kind: string): Map<string, HeldObject> {
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
