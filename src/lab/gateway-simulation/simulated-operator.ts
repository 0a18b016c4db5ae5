/** Simulated operator that writes objects to the store and rewrites those that were lost. */
import type { SimulatedObjectStore } from './simulated-object-store.js';
import { KINDS, SIMULATION_MODEL } from './simulation-fixtures.js';

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

  /** Newest published version of the weights, even if the store has lost it; 0 before the first one. */
  get publishedVersion(): number {
    const published = this.written.get(`${KINDS.weightVersions}/${SIMULATION_MODEL}`)?.spec;
    return (published as { version: number } | undefined)?.version ?? 0;
  }

  /** Publishes the next version of the weights, which it returns. */
  publishWeights(): number {
    const version = this.publishedVersion + 1;
    this.write(KINDS.weightVersions, SIMULATION_MODEL, { model: SIMULATION_MODEL, version });
    return version;
  }

  /** Rewrites all objects that differ from the store. */
  rewriteLost(): void {
    for (const { kind, name, spec } of this.written.values()) {
      if (this.store.get(kind, name)?.spec !== spec) this.store.put(kind, name, spec);
    }
  }
}
