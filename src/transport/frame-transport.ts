/** Interface of ordered connections that carry whole frames. Implementations: TCP, simulated. */

/** One end of a connection. Frames arrive whole and in order, or the connection closes. */
export interface FrameConnection {
  /** Address of the other side, for logs. */
  readonly remoteAddress: string;
  /** Queues a frame. False: the send buffer is over its mark, wait for `onDrain`. */
  send(frame: Uint8Array): boolean;
  /** Sends what is queued, then closes. */
  close(): void;
  /** Closes at once and drops what is queued. */
  destroy(): void;
  /** Registers the one receiver of frames. */
  onFrame(receiver: (frame: Uint8Array) => void): void;
  /** Registers a callback for the end of the connection; runs once. */
  onClose(callback: () => void): void;
  /** Registers a callback for the send buffer falling below its mark. */
  onDrain(callback: () => void): void;
}

/** A listening socket. */
export interface FrameListener {
  /** The address bound, with the real port where 0 was asked for. */
  readonly address: string;
  /** Takes no new connections; open ones stay. */
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
