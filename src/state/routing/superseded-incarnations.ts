/**
 * Incarnations that were replaced in the registry by another one. Start times come from clocks that
 * may be set back, so a superseded incarnation can turn out to be the current one; its state is
 * kept.
 */
import type { EngineRecord } from './engine-record.js';

/** An incarnation that was superseded by another. */
export interface SupersededIncarnation {
  /** Its last known state, including newer weight versions. */
  readonly record: EngineRecord;
  /** Whether its store entry had been received. */
  readonly isListed: boolean;
  /** Whether its later entries are ignored, so that only its own response restores it. */
  readonly isPermanent: boolean;
}

/** Maximum incarnations remembered; engine lists drop ended ones within seconds. */
const MAXIMUM_INCARNATIONS = 4_096;

/** Superseded incarnations by identifier. */
export class SupersededIncarnations {
  private readonly incarnations = new Map<string, SupersededIncarnation>();

  find(incarnation: string): SupersededIncarnation | undefined {
    return this.incarnations.get(incarnation);
  }

  add(superseded: SupersededIncarnation): void {
    const { id } = superseded.record;
    this.incarnations.delete(id);
    this.incarnations.set(id, superseded);
    if (this.incarnations.size <= MAXIMUM_INCARNATIONS) return;
    const [oldest] = this.incarnations.keys();
    if (oldest !== undefined) this.incarnations.delete(oldest);
  }

  /** Removes and returns an incarnation that is registered again. */
  remove(incarnation: string): SupersededIncarnation | undefined {
    const superseded = this.incarnations.get(incarnation);
    this.incarnations.delete(incarnation);
    return superseded;
  }
}
