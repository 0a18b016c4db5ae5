/** Interface of unordered, lossy datagrams. Implementations: UDP, simulated. */

/** A bound datagram socket. */
export interface DatagramSocket {
  /** The address bound, with the real port where 0 was asked for. */
  readonly address: string;
  /** Sends without any promise of delivery. */
  send(address: string, datagram: Uint8Array): void;
  close(): void;
}

/** Binds datagram sockets. */
export interface DatagramTransport {
  bind(address: string, onDatagram: (datagram: Uint8Array) => void): Promise<DatagramSocket>;
}
