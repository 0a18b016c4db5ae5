/** Frames over TCP. Frames queued in one iteration of the event loop are sent in one write. */
import net from 'node:net';
import { formatAddress, parseAddress } from './address.js';
import { TransportFailure } from './errors.js';
import { FRAME_HEADER_BYTES, FrameSplitter } from './frame-splitter.js';
import type { FrameConnection, FrameListener, FrameTransport } from './frame-transport.js';

/** Size of the send buffer from which `send` returns false. */
const SEND_BUFFER_HIGH_WATER_MARK_BYTES = 1024 * 1024;

/** Maximum time to open a connection. */
const CONNECT_TIMEOUT_MS = 2_000;

class TcpFrameConnection implements FrameConnection {
  readonly remoteAddress: string;
  private readonly splitter: FrameSplitter;
  private receiver: (frame: Uint8Array) => void = () => undefined;
  private corked = false;

  constructor(private readonly socket: net.Socket) {
    this.remoteAddress = formatAddress(socket.remoteAddress ?? '', socket.remotePort ?? 0);
    this.splitter = new FrameSplitter((frame) => this.receiver(frame));
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    // Every error is followed by a close event, which is the one that users handle.
    socket.on('error', () => undefined);
  }

  send(frame: Uint8Array): boolean {
    if (this.socket.destroyed) return true;
    this.corkUntilNextIteration();
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(frame.length, 0);
    this.socket.write(header);
    this.socket.write(frame);
    return this.socket.writableLength < SEND_BUFFER_HIGH_WATER_MARK_BYTES;
  }

  close(): void {
    this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }

  onFrame(receiver: (frame: Uint8Array) => void): void {
    this.receiver = receiver;
  }

  onClose(callback: () => void): void {
    if (this.socket.destroyed) queueMicrotask(callback);
    else this.socket.once('close', callback);
  }

  onDrain(callback: () => void): void {
    this.socket.on('drain', callback);
  }

  private receive(chunk: Buffer): void {
    try {
      this.splitter.push(chunk);
    } catch {
      // After an oversized frame, the start of the next one is unknown.
      this.socket.destroy();
    }
  }

  private corkUntilNextIteration(): void {
    if (this.corked) return;
    this.corked = true;
    this.socket.cork();
    setImmediate(() => {
      this.corked = false;
      this.socket.uncork();
    });
  }
}

/** The TCP implementation of {@link FrameTransport}. */
export class TcpFrameTransport implements FrameTransport {
  listen(
    address: string,
    onConnection: (connection: FrameConnection) => void,
  ): Promise<FrameListener> {
    const { host, port } = parseAddress(address);
    const server = net.createServer((socket) => onConnection(new TcpFrameConnection(socket)));
    return new Promise((resolve, reject) => {
      server.once('error', (error) =>
        reject(new TransportFailure({ kind: 'listen-failed', address, reason: error.message })),
      );
      server.listen(port, host, () => {
        const bound = server.address() as net.AddressInfo;
        resolve({
          address: formatAddress(host, bound.port),
          close: () => {
            server.close();
          },
        });
      });
    });
  }

  connect(address: string): Promise<FrameConnection> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      const socket = net.connect({ host, port });
      const fail = (reason: string): void => {
        socket.destroy();
        reject(new TransportFailure({ kind: 'connect-failed', address, reason }));
      };
      const onError = (error: Error): void => fail(error.message);
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => fail('timeout'));
      socket.once('error', onError);
      socket.once('connect', () => {
        socket.setTimeout(0);
        socket.off('error', onError);
        resolve(new TcpFrameConnection(socket));
      });
    });
  }
}
