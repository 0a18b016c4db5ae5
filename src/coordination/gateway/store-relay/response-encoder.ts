/** Encodes relay responses and caches deflated ones, since most followers request the same. */
import type { StorePosition } from '../../../runtime/store-position.js';
import type { ObjectEvent, StoredObject } from '../../../protocol/object-store/port.js';
import {
  ChangeEncoder,
  type EncodedChanges,
  NO_CHANGES,
  deflateChanges,
} from '../../../protocol/peer/encoded-changes.js';

/** Range of changes of one kind that a response contains. */
export interface ChangeRange {
  readonly kind: string;
  /** Position of the requesting router; undefined for all objects. */
  readonly from: StorePosition | undefined;
  readonly to: StorePosition;
}

/** Cached deflated responses; followers send the same query almost at the same time. */
const MAXIMUM_CACHED = 8;

/** Encoder and cache of one router's relay responses. */
export class ResponseEncoder {
  private readonly encoder: ChangeEncoder;
  private readonly deflated = new Map<string, EncodedChanges>();

  /** @param onUnencodable called once for each object that is encoded without its contents */
  constructor(onUnencodable?: (object: StoredObject, error: unknown) => void) {
    this.encoder = new ChangeEncoder(onUnencodable);
  }

  /** @param acceptsDeflated whether the requesting router supports deflated changes */
  encode(
    range: ChangeRange,
    events: readonly ObjectEvent[],
    acceptsDeflated: boolean,
  ): EncodedChanges {
    if (events.length === 0) return NO_CHANGES;
    if (!acceptsDeflated) return { kind: 'plain', changes: this.encoder.encode(events) };
    const key = `${range.kind} ${String(range.from)} ${String(range.to)}`;
    const cached = this.deflated.get(key);
    if (cached) return cached;
    const changes = deflateChanges(this.encoder.encode(events));
    this.addToCache(key, changes);
    return changes;
  }

  private addToCache(key: string, changes: EncodedChanges): void {
    this.deflated.set(key, changes);
    const [oldest] = this.deflated.keys();
    if (this.deflated.size > MAXIMUM_CACHED && oldest !== undefined) this.deflated.delete(oldest);
  }
}
