/** Counts what simulated hosts send, by kind of message. */
import { PeerMessageSchema } from '../../protocol/peer/generated/peer_pb.js';

/** Bytes and messages of one kind. */
export interface TrafficCount {
  bytes: number;
  messages: number;
}

/** Kind under which membership datagrams are counted. */
export const DATAGRAM_KIND = 'datagram';
/** Bytes that UDP and IP add to a datagram, and the length before each frame adds to it. */
const DATAGRAM_OVERHEAD_BYTES = 28;
const FRAME_OVERHEAD_BYTES = 4;

const FIELD_NUMBER_SHIFT = 3;
const LOW_BITS = 0x7f;
const CONTINUATION_BIT = 0x80;
const VARINT_SHIFT = 7;

/** Traffic of all hosts since the last reset. */
export class TrafficMeter {
  private readonly kinds = new Map<string, TrafficCount>();

  countDatagram(datagram: Uint8Array): void {
    this.count(DATAGRAM_KIND, datagram.length + DATAGRAM_OVERHEAD_BYTES);
  }

  countFrame(frame: Uint8Array): void {
    this.count(kindOf(frame), frame.length + FRAME_OVERHEAD_BYTES);
  }

  /** Counts by kind, largest first. */
  byKind(): [string, TrafficCount][] {
    return [...this.kinds]
      .map(([kind, count]): [string, TrafficCount] => [kind, { ...count }])
      .sort(([, one], [, other]) => other.bytes - one.bytes);
  }

  get totalBytes(): number {
    return [...this.kinds.values()].reduce((sum, count) => sum + count.bytes, 0);
  }

  reset(): void {
    this.kinds.clear();
  }

  private count(kind: string, bytes: number): void {
    const present = this.kinds.get(kind);
    if (!present) {
      this.kinds.set(kind, { bytes, messages: 1 });
      return;
    }
    present.bytes += bytes;
    present.messages += 1;
  }
}

const NAMES_BY_NUMBER = new Map(
  PeerMessageSchema.fields.map((field) => [field.number, field.localName]),
);

/** The message's case, read from the tag of its only field. */
function kindOf(frame: Uint8Array): string {
  const [first = 0, second = 0] = frame;
  const isLong = (first & CONTINUATION_BIT) !== 0;
  const tag = (first & LOW_BITS) + (isLong ? second << VARINT_SHIFT : 0);
  return NAMES_BY_NUMBER.get(tag >> FIELD_NUMBER_SHIFT) ?? 'unknown';
}
