/**
 * What one router knows of one kind of object in the store: the objects, the changes that led there,
 * and when that was proved current. Other routers are answered from it. Pure.
 */
import { ElapsedInstant } from '../../../runtime/elapsed-instant.js';
import type { ObjectEvent, StoredObject } from '../../../protocol/object-store/port.js';

/** Changes that one answer of the store brought. */
interface ChangeBatch {
  /** Revision of the store after these changes. */
  readonly revision: number;
  readonly events: readonly ObjectEvent[];
}

/** Batches kept for routers that are a little behind. */
const MAXIMUM_BATCHES = 128;

/** The mirror of one kind. */
export class ObjectMirror {
  private readonly objects = new Map<string, StoredObject>();
  private batches: ChangeBatch[] = [];
  /** Changes after this revision are all kept. */
  private oldestRevision = 0;
  private latestRevision = 0;
  private provenAt = ElapsedInstant.never;

  /** Whether the kind has been read once. */
  get isFilled(): boolean {
    return this.latestRevision > 0;
  }

  /** Whether an answer of the store has shown at some moment that this was current. */
  get isProven(): boolean {
    return this.provenAt !== ElapsedInstant.never;
  }

  get revision(): number {
    return this.latestRevision;
  }

  /** All objects of the kind. */
  get all(): StoredObject[] {
    return [...this.objects.values()];
  }

  /** Milliseconds since the call began that proved the present revision to be the newest. */
  proofAgeMs(now: ElapsedInstant): number {
    return now.since(this.provenAt);
  }

  /**
   * Takes the whole kind; what came before is not known any more. A list that was overtaken by changes is
   * dropped: taking it would lose these for good, since the next changes follow on them.
   */
  takeList(objects: readonly StoredObject[], revision: number, proven: ElapsedInstant): void {
    if (revision < this.latestRevision) return;
    this.objects.clear();
    for (const object of objects) this.objects.set(object.name, object);
    this.batches = [];
    this.oldestRevision = revision;
    this.latestRevision = revision;
    this.prove(proven);
  }

  /** Takes the changes up to a revision; an answer that was overtaken by a newer one is dropped. */
  takeChanges(events: readonly ObjectEvent[], revision: number, proven: ElapsedInstant): void {
    if (!this.isFilled || revision < this.latestRevision) return;
    for (const { object, isGone } of events) {
      if (isGone) this.objects.delete(object.name);
      else this.objects.set(object.name, object);
    }
    if (events.length > 0) this.keepBatch({ revision, events });
    this.latestRevision = revision;
    this.prove(proven);
  }

  /**
   * The changes after a revision, in order; undefined where they are not all kept. The removal of an
   * object carries the revision of its last change, so a removal may be repeated; not that of an object
   * that is back, which the asker may know already.
   */
  changesAfter(revision: number): ObjectEvent[] | undefined {
    if (!this.isFilled || revision < this.oldestRevision) return undefined;
    const later = this.batches.filter((batch) => batch.revision > revision);
    const events = later.flatMap((batch) => batch.events);
    return events.filter(({ object, isGone }) =>
      isGone ? !this.objects.has(object.name) : object.revision > revision,
    );
  }

  private keepBatch(batch: ChangeBatch): void {
    this.batches.push(batch);
    if (this.batches.length <= MAXIMUM_BATCHES) return;
    const dropped = this.batches.shift();
    if (dropped) this.oldestRevision = dropped.revision;
  }

  private prove(proven: ElapsedInstant): void {
    this.provenAt = this.provenAt.latest(proven);
  }
}
