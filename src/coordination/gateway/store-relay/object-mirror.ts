/**
 * What one router knows of one kind of object in the store: the objects, the changes that led there,
 * and when that was proved current. Other routers are answered from it. Pure.
 */
import { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import { StoreEra, StorePosition } from '../../../runtime/store-position.js';
import type { ObjectEvent, StoredObject } from '../../../protocol/object-store/port.js';

/** Changes that one answer of the store brought. */
interface ChangeBatch {
  /** Of the store after these changes. */
  readonly position: StorePosition;
  readonly events: readonly ObjectEvent[];
}

/** Batches kept for routers that are a little behind. */
const MAXIMUM_BATCHES = 128;

/** The mirror of one kind. */
export class ObjectMirror {
  private readonly objects = new Map<string, StoredObject>();
  private batches: ChangeBatch[] = [];
  /** Changes after this position are all kept. */
  private oldestPosition = StorePosition.start;
  private latestPosition = StorePosition.start;
  private provenAt = ElapsedInstant.never;

  /** Whether the kind has been read once. */
  get isFilled(): boolean {
    return this.latestPosition !== StorePosition.start;
  }

  /** Whether an answer of the store has shown at some moment that this was current. */
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

  /** Milliseconds since the call began that proved the present position to be the newest. */
  proofAgeMs(now: ElapsedInstant): number {
    return now.since(this.provenAt);
  }

  /**
   * Takes the whole kind; what came before is not known any more. A list that was overtaken by changes is
   * dropped: taking it would lose these for good, since the next changes follow on them.
   */
  takeList(
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
    this.prove(proven);
  }

  /**
   * Takes the changes up to a position; an answer that was overtaken by a newer one is dropped, and one of another
   * era does not follow on what is known.
   */
  takeChanges(
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
    if (events.length > 0) this.keepBatch({ position, events });
    this.latestPosition = position;
    this.prove(proven);
  }

  /**
   * The changes after a position, in order; undefined where they are not all kept, or where the position is of another
   * era. The removal of an object carries the position of its last change, so a removal may be repeated; not that of
   * an object that is back, which the asker may know already.
   */
  changesAfter(asked: StorePosition): ObjectEvent[] | undefined {
    if (!this.isFilled) return undefined;
    const { era } = this.latestPosition;
    // A router whose build knows no eras is answered as if the store had never gone back, as it takes it itself.
    const position =
      asked.era === StoreEra.Unknown ? new StorePosition(era, asked.revision) : asked;
    if (position.era !== era || position.isBefore(this.oldestPosition)) return undefined;
    const later = this.batches.filter((batch) => position.isBefore(batch.position));
    const events = later.flatMap((batch) => batch.events);
    return events.filter(({ object, isGone }) =>
      isGone ? !this.objects.has(object.name) : position.isBefore(object.position),
    );
  }

  private keepBatch(batch: ChangeBatch): void {
    this.batches.push(batch);
    if (this.batches.length <= MAXIMUM_BATCHES) return;
    const dropped = this.batches.shift();
    if (dropped) this.oldestPosition = dropped.position;
  }

  private prove(proven: ElapsedInstant): void {
    this.provenAt = this.provenAt.latest(proven);
  }
}
