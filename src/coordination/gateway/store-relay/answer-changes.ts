/** Encodes what a router answers to those that follow the store through it; most of them ask for the same. */
import type { StorePosition } from '../../../runtime/store-position.js';
import type { ObjectEvent } from '../../../protocol/object-store/port.js';
import {
  ChangeEncoder,
  type EncodedChanges,
  NO_CHANGES,
  deflateChanges,
} from '../../../protocol/peer/encoded-changes.js';

/** Which changes of a kind an answer carries. */
export interface ChangeSpan {
  readonly kind: string;
  /** Position of the asker; undefined: all objects. */
  readonly from: StorePosition | undefined;
  readonly to: StorePosition;
}

/** Deflated answers kept; followers ask within moments of each other, so a few are enough. */
const MAXIMUM_KEPT = 8;

/** The answers of one router. */
export class AnswerChanges {
  private readonly encoder = new ChangeEncoder();
  private readonly deflated = new Map<string, EncodedChanges>();

  /** @param acceptsDeflated whether the asker's build can inflate */
  encode(
    span: ChangeSpan,
    events: readonly ObjectEvent[],
    acceptsDeflated: boolean,
  ): EncodedChanges {
    if (events.length === 0) return NO_CHANGES;
    if (!acceptsDeflated) return { kind: 'plain', changes: this.encoder.encode(events) };
    const key = `${span.kind} ${String(span.from)} ${String(span.to)}`;
    const kept = this.deflated.get(key);
    if (kept) return kept;
    const changes = deflateChanges(this.encoder.encode(events));
    this.keep(key, changes);
    return changes;
  }

  private keep(key: string, changes: EncodedChanges): void {
    this.deflated.set(key, changes);
    const [oldest] = this.deflated.keys();
    if (this.deflated.size > MAXIMUM_KEPT && oldest !== undefined) this.deflated.delete(oldest);
  }
}
