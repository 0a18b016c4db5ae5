/**
 * One router's copy of all objects of one kind in the store, with the recent changes and the time
 * at which the copy was proven current. Queries of other routers are answered from it. Performs no
 * I/O.
 */
import { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import { StoreEra, StorePosition } from '../../../runtime/store-position.js';
import type { ObjectEvent, StoredObject } from '../../../protocol/object-store/port.js';

/** Changes of one response of the store. */
interface ChangeBatch {
  /** Position of the store after these changes. */
  readonly position: StorePosition;
  readonly events: readonly ObjectEvent[];
}

/** Batches kept for routers that are slightly behind. */
const MAXIMUM_BATCHES = 128;

/** The mirror of one kind. */
export class ObjectMirror {
  private readonly objects = new Map<string, StoredObject>();
  private batches: ChangeBatch[] = [];
  /** All changes after this position are kept. */
  private oldestPosition = StorePosition.start;
  private latestPosition = StorePosition.start;
  private provenAt = ElapsedInstant.never;

  /** Whether the kind has been listed. */
  get isFilled(): boolean {
    return this.latestPosition !== StorePosition.start;
  }

  /** Whether a response of the store has ever proven this copy current. */
  get isProven(): boolean {
    return this.provenAt !== ElapsedInstant.never;
  }

  get position(): StorePosition {
    return this.latestPosition;
  }

  /** All objects of the kind. */
  get all(): StoredObject[] {
    return [...this.objects.values()];
  }

  /** Milliseconds since the start of the call that proved the current position to be the newest. */
  proofAgeMs(now: ElapsedInstant): number {
    return now.since(this.provenAt);
  }

  /**
   * Replaces all objects and discards the change history. A list older than the current position is
   * ignored, because the changes after it would be lost permanently.
   */
  applyList(
    objects: readonly StoredObject[],
    position: StorePosition,
    proven: ElapsedInstant,
  ): void {
    if (position.isBefore(this.latestPosition)) return;
    this.objects.clear();
    for (const object of objects) this.objects.set(object.name, object);
    this.batches = [];
    this.oldestPosition = position;
    this.latestPosition = position;
    this.recordProof(proven);
  }

  /**
   * Applies the changes up to a position. Changes up to an older position or of another store era
   * are ignored.
   */
  applyChanges(
    events: readonly ObjectEvent[],
    position: StorePosition,
    proven: ElapsedInstant,
  ): void {
    const { latestPosition } = this;
    if (!this.isFilled || position.isBefore(latestPosition)) return;
    if (position.era !== latestPosition.era) return;
    for (const { object, isGone } of events) {
      if (isGone) this.objects.delete(object.name);
      else this.objects.set(object.name, object);
    }
    if (events.length > 0) this.appendBatch({ position, events });
    this.latestPosition = position;
    this.recordProof(proven);
  }

  /**
   * Returns the changes after a position in order, or undefined if they are not all kept or the
   * position is of another era. A removal has the position of the object's last change, so it may
   * be returned repeatedly. The removal of an object that was created again is left out.
   */
  changesAfter(requested: StorePosition): ObjectEvent[] | undefined {
    if (!this.isFilled) return undefined;
    const { era } = this.latestPosition;
    // A router whose version does not support eras assumes that the store is never restored.
    const position =
      requested.era === StoreEra.Unknown ? new StorePosition(era, requested.revision) : requested;
    if (position.era !== era || position.isBefore(this.oldestPosition)) return undefined;
    const later = this.batches.filter((batch) => position.isBefore(batch.position));
    const events = later.flatMap((batch) => batch.events);
    return events.filter(({ object, isGone }) =>
      isGone ? !this.objects.has(object.name) : position.isBefore(object.position),
    );
  }

  private appendBatch(batch: ChangeBatch): void {
    this.batches.push(batch);
    if (this.batches.length <= MAXIMUM_BATCHES) return;
    const dropped = this.batches.shift();
    if (dropped) this.oldestPosition = dropped.position;
  }

  private recordProof(proven: ElapsedInstant): void {
    this.provenAt = this.provenAt.later(proven);
  }
}
