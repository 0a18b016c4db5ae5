/** Datagrams over UDP. */
import dgram from 'node:dgram';
import { type HostPort, findAddress, formatAddress, parseAddress } from './address.js';
import type { DatagramSocket, DatagramTransport } from './datagram-transport.js';
import { TransportFailure } from './errors.js';

const HIGHEST_PORT = 65_535;

/** The UDP implementation of {@link DatagramTransport}. */
export class UdpDatagramTransport implements DatagramTransport {
  bind(address: string, onDatagram: (datagram: Uint8Array) => void): Promise<DatagramSocket> {
    const { host, port } = parseAddress(address);
    const socket = dgram.createSocket('udp4');
    socket.on('message', onDatagram);
    return new Promise((resolve, reject) => {
      socket.once('error', (error) =>
        reject(new TransportFailure({ kind: 'listen-failed', address, reason: error.message })),
      );
      socket.bind(port, host, () => {
        // After binding, errors concern single datagrams, whose delivery isn't guaranteed.
        socket.removeAllListeners('error');
        socket.on('error', () => undefined);
        resolve(new BoundUdpSocket(socket, formatAddress(host, socket.address().port)));
      });
    });
  }
}

/** Undefined if the text is not HOST:PORT with a port that can be sent to. */
function destinationOf(address: string): HostPort | undefined {
  const destination = findAddress(address);
  const isPort = destination && destination.port > 0 && destination.port <= HIGHEST_PORT;
  return isPort ? destination : undefined;
}

class BoundUdpSocket implements DatagramSocket {
  private closed = false;

  constructor(
    private readonly socket: dgram.Socket,
    readonly address: string,
  ) {}

  send(address: string, datagram: Uint8Array): void {
    if (this.closed) return;
    const destination = destinationOf(address);
    // Peers state addresses. A datagram to one that can't exist is lost, as to one where nobody listens.
    if (destination) this.socket.send(datagram, destination.port, destination.host);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.close();
  }
}
