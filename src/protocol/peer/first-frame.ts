/** Reads the first frame of a connection whose further bytes are not framed. */
import type { Socket } from 'node:net';
import { FRAME_HEADER_BYTES } from '../../transport/frame-splitter.js';

/** Maximum size of the frames that open a forwarded connection. */
const MAXIMUM_CONTENT_BYTES = 4_096;

/**
 * Calls `onFrame` once with the contents of the first frame and leaves the socket paused, with all
 * further bytes unread. A longer frame destroys the socket.
 */
export function readFirstFrame(socket: Socket, onFrame: (contents: Uint8Array) => void): void {
  const onReadable = (): void => {
    const header = socket.read(FRAME_HEADER_BYTES) as Buffer | null;
    if (!header) return;
    const length = header.readUInt32BE(0);
    if (length > MAXIMUM_CONTENT_BYTES) {
      socket.destroy(new Error('oversized frame'));
      return;
    }
    const contents = length === 0 ? Buffer.alloc(0) : (socket.read(length) as Buffer | null);
    if (!contents) {
      // The rest has not arrived yet.
      socket.unshift(header);
      return;
    }
    socket.removeListener('readable', onReadable);
    onFrame(contents);
  };
  socket.on('readable', onReadable);
}
