/** Interface for ordered connections that carry frames. Implementations: TCP, simulated. */

/** One end of a connection. Frames arrive complete and in order, or the connection closes. */
export interface FrameConnection {
  /** Address of the peer, for logs. */
  readonly remoteAddress: string;
  /** Queues a frame. Returns false if the send buffer is full; then wait for `onDrain`. */
  send(frame: Uint8Array): boolean;
  /** Sends the queued frames, then closes. */
  close(): void;
  /** Closes immediately and discards the queued frames. */
  destroy(): void;
  /** Sets the receiver of frames. */
  onFrame(receiver: (frame: Uint8Array) => void): void;
  /** Registers a callback that runs once when the connection closes. */
  onClose(callback: () => void): void;
  /** Registers a callback that runs when the send buffer has drained. */
  onDrain(callback: () => void): void;
}

/** A listening socket. */
export interface FrameListener {
  /** The bound address, with the actual port if 0 was requested. */
  readonly address: string;
  /** Stops accepting connections; open ones are kept. */
  close(): void;
}

/** Opens and accepts connections. */
export interface FrameTransport {
  listen(
    address: string,
    onConnection: (connection: FrameConnection) => void,
  ): Promise<FrameListener>;
  /** Rejects with a `TransportFailure`. */
  connect(address: string): Promise<FrameConnection>;
}
