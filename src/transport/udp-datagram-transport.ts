/** Datagrams over UDP. */
import dgram from 'node:dgram';
import { formatAddress, parseAddress } from './address.js';
import type { DatagramSocket, DatagramTransport } from './datagram-transport.js';
import { TransportFailure } from './errors.js';

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

class BoundUdpSocket implements DatagramSocket {
  private closed = false;

  constructor(
    private readonly socket: dgram.Socket,
    readonly address: string,
  ) {}

  send(address: string, datagram: Uint8Array): void {
    if (this.closed) return;
    const { host, port } = parseAddress(address);
    this.socket.send(datagram, port, host);
  }

  close(): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.close();
  }
}
