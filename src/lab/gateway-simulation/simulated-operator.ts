/** Simulated operator that writes objects to the store and rewrites those that were lost. */
import type { SimulatedObjectStore } from './simulated-object-store.js';

interface WrittenObject {
  readonly kind: string;
  readonly name: string;
  readonly spec: unknown;
}

export class SimulatedOperator {
  private readonly written = new Map<string, WrittenObject>();

  constructor(private readonly store: SimulatedObjectStore) {}

  write(kind: string, name: string, spec: unknown): void {
    this.written.set(`${kind}/${name}`, { kind, name, spec });
    this.store.put(kind, name, spec);
  }

  /** Last written contents of an object, even if the store has lost them. */
  latestSpec(kind: string, name: string): unknown {
    return this.written.get(`${kind}/${name}`)?.spec;
  }

  /** Rewrites all objects that differ from the store. */
  rewriteLost(): void {
    for (const { kind, name, spec } of this.written.values()) {
      if (this.store.get(kind, name)?.spec !== spec) this.store.put(kind, name, spec);
    }
  }
}
