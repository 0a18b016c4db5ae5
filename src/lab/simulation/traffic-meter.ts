/** Counts the traffic that simulated hosts send, by message kind. */
import { PeerMessageSchema } from '../../protocol/peer/generated/peer_pb.js';

/** Traffic of one message kind. */
export interface TrafficCount {
  bytes: number;
  messages: number;
}

/** Kind for membership datagrams. */
export const DATAGRAM_KIND = 'datagram';
/** Size of the UDP and IPv4 headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;
/** Size of the length prefix of a frame. */
const FRAME_OVERHEAD_BYTES = 4;

const WIRE_TYPE_BITS = 3;
const VARINT_PAYLOAD_MASK = 0x7f;
const CONTINUATION_BIT = 0x80;
const VARINT_PAYLOAD_BITS = 7;

/** Traffic of all hosts since the last reset. */
export class TrafficMeter {
  private readonly kinds = new Map<string, TrafficCount>();

  countDatagram(datagram: Uint8Array): void {
    this.count(DATAGRAM_KIND, datagram.length + DATAGRAM_OVERHEAD_BYTES);
  }

  countFrame(frame: Uint8Array): void {
    this.count(kindOf(frame), frame.length + FRAME_OVERHEAD_BYTES);
  }

  /** Returns the counts by kind, sorted by bytes in descending order. */
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
    const existing = this.kinds.get(kind);
    if (!existing) {
      this.kinds.set(kind, { bytes, messages: 1 });
      return;
    }
    existing.bytes += bytes;
    existing.messages += 1;
  }
}

const NAMES_BY_NUMBER = new Map(
  PeerMessageSchema.fields.map((field) => [field.number, field.localName]),
);

/** Returns the message's case, read from the protobuf tag of its first field. */
function kindOf(frame: Uint8Array): string {
  const [first = 0, second = 0] = frame;
  const isLong = (first & CONTINUATION_BIT) !== 0;
  const tag = (first & VARINT_PAYLOAD_MASK) + (isLong ? second << VARINT_PAYLOAD_BITS : 0);
  return NAMES_BY_NUMBER.get(tag >> WIRE_TYPE_BITS) ?? 'unknown';
}
