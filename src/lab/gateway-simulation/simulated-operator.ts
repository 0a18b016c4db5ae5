/** What the operator of the simulated deployment has written to the store, and writes again where it is lost. */
import type { SimulatedObjectStore } from './simulated-object-store.js';

interface WrittenObject {
  readonly kind: string;
  readonly name: string;
  readonly spec: unknown;
}

/** The operator. */
export class SimulatedOperator {
  private readonly written = new Map<string, WrittenObject>();

  constructor(private readonly store: SimulatedObjectStore) {}

  write(kind: string, name: string, spec: unknown): void {
    this.written.set(`${kind}/${name}`, { kind, name, spec });
    this.store.put(kind, name, spec);
  }

  /** The newest contents of an object, whether or not the store still holds them. */
  newest(kind: string, name: string): unknown {
    return this.written.get(`${kind}/${name}`)?.spec;
  }

  /** Writes again what the store holds otherwise. */
  writeAgain(): void {
    for (const { kind, name, spec } of this.written.values()) {
      if (this.store.get(kind, name)?.spec !== spec) this.store.put(kind, name, spec);
    }
  }
}
