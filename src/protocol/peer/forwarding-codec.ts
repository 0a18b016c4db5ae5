/** Encodes and decodes the frames that open a forwarded connection to an engine. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { FRAME_HEADER_BYTES } from '../../transport/frame-splitter.js';
import type { ForwardingTarget } from './forwarding-port.js';
import { ForwardReplySchema, ForwardRequestSchema, ForwardStatus } from './generated/cluster_pb.js';

export { ForwardStatus };

/** Returns a whole frame. */
export function encodeForwardRequest({ engineId, address }: ForwardingTarget): Uint8Array {
  const request = create(ForwardRequestSchema, { engineId, engineAddress: address });
  return frameOf(toBinary(ForwardRequestSchema, request));
}

/** Decodes the contents of a frame; undefined if they are malformed. */
export function decodeForwardRequest(contents: Uint8Array): ForwardingTarget | undefined {
  try {
    const { engineId, engineAddress } = fromBinary(ForwardRequestSchema, contents);
    return { engineId, address: engineAddress };
  } catch {
    // The sender is no router, or not of a compatible version; the connection is closed.
    return undefined;
  }
}

/** Returns a whole frame. */
export function encodeForwardReply(status: ForwardStatus): Uint8Array {
  return frameOf(toBinary(ForwardReplySchema, create(ForwardReplySchema, { status })));
}

/** Decodes the contents of a frame; unspecified if they are malformed. */
export function decodeForwardReply(contents: Uint8Array): ForwardStatus {
  try {
    return fromBinary(ForwardReplySchema, contents).status;
  } catch {
    // The responder is no router, or not of a compatible version; the connection is closed.
    return ForwardStatus.UNSPECIFIED;
  }
}

function frameOf(contents: Uint8Array): Uint8Array {
  const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
  header.writeUInt32BE(contents.length, 0);
  return Buffer.concat([header, contents]);
}
