/** Counts the datagrams that a transport sends. */
import type { DatagramTransport } from '../../src/transport/datagram-transport.js';

/** Wraps a transport and calls `noteSent` for each datagram sent. */
export function countingDatagrams(
  transport: DatagramTransport,
  noteSent: () => void,
): DatagramTransport {
  return {
    bind: async (address, receive) => {
      const socket = await transport.bind(address, receive);
      return {
        address: socket.address,
        close: () => socket.close(),
        send: (to, datagram) => {
          noteSent();
          socket.send(to, datagram);
        },
      };
    },
  };
}
