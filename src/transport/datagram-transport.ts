/** Interface for unordered, unreliable datagrams. Implementations: UDP, simulated. */

/** A bound datagram socket. */
export interface DatagramSocket {
  /** The bound address, with the actual port if 0 was requested. */
  readonly address: string;
  /** Sends a datagram without guaranteed delivery. */
  send(address: string, datagram: Uint8Array): void;
  close(): void;
}

/** Binds datagram sockets. */
export interface DatagramTransport {
  bind(address: string, onDatagram: (datagram: Uint8Array) => void): Promise<DatagramSocket>;
}
