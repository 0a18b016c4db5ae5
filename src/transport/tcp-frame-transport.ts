/** Frames over TCP. Frames queued in one iteration of the event loop are sent in one write. */
import net from 'node:net';
import { formatAddress, parseAddress } from './address.js';
import { TransportFailure } from './errors.js';
import type { ConnectionAccount, ConnectionShare } from './connection-account.js';
import { FRAME_HEADER_BYTES, FrameSplitter, MAXIMUM_FRAME_BYTES } from './frame-splitter.js';
import type { FrameConnection, FrameListener, FrameTransport } from './frame-transport.js';

/** Size of the send buffer from which `send` returns false. */
const SEND_BUFFER_HIGH_WATER_MARK_BYTES = 1024 * 1024;

/** Bytes that an accepted connection need not have sent before they count. */
const UNSENT_ALLOWANCE_BYTES = 262_144;

/** Maximum time to open a connection. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Limits of accepted connections. */
export interface AcceptedFrameLimits {
  /** Counts the connections and what they hold; undefined if they are not bounded. */
  readonly account?: ConnectionAccount;
  /** Maximum size of the frames that arrive on them. */
  readonly maximumFrameBytes?: number;
}

class TcpFrameConnection implements FrameConnection {
  readonly remoteAddress: string;
  private readonly splitter: FrameSplitter;
  private receiver: (frame: Uint8Array) => void = () => undefined;
  private corked = false;

  /** @param share counts what an accepted connection holds */
  constructor(
    private readonly socket: net.Socket,
    maximumFrameBytes = MAXIMUM_FRAME_BYTES,
    private readonly share?: ConnectionShare,
  ) {
    this.remoteAddress = formatAddress(socket.remoteAddress ?? '', socket.remotePort ?? 0);
    this.splitter = new FrameSplitter((frame) => this.deliver(frame), maximumFrameBytes);
    if (share) {
      socket.once('close', () => share.release());
      socket.on('drain', () => this.countHeld());
    }
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    // Every error is followed by a close event, which callers handle.
    socket.on('error', () => undefined);
  }

  send(frame: Uint8Array): boolean {
    if (this.socket.destroyed) return true;
    this.corkUntilNextIteration();
    const header = Buffer.allocUnsafe(FRAME_HEADER_BYTES);
    header.writeUInt32BE(frame.length, 0);
    this.socket.write(header);
    this.socket.write(frame);
    this.countHeld();
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

  /** A peer whose frame is taken is a router: its connection is not closed for others. */
  private deliver(frame: Uint8Array): void {
    this.receiver(frame);
    if (!this.socket.destroyed) this.share?.setRunning(true);
  }

  /** Counts a frame that is not complete, and responses that the peer does not take. */
  private countHeld(): void {
    const unsentBytes = this.socket.writableLength;
    const excessBytes = Math.max(0, unsentBytes - UNSENT_ALLOWANCE_BYTES);
    this.share?.hold(this.splitter.heldBytes + excessBytes);
  }

  private receive(chunk: Buffer): void {
    try {
      this.splitter.push(chunk);
      this.countHeld();
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
  constructor(private readonly accepted: AcceptedFrameLimits = {}) {}

  listen(
    address: string,
    onConnection: (connection: FrameConnection) => void,
  ): Promise<FrameListener> {
    const { host, port } = parseAddress(address);
    const server = net.createServer((socket) => onConnection(this.accept(socket)));
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

  private accept(socket: net.Socket): FrameConnection {
    const { account, maximumFrameBytes } = this.accepted;
    const share = account?.accept(() => socket.destroy());
    return new TcpFrameConnection(socket, maximumFrameBytes, share);
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
