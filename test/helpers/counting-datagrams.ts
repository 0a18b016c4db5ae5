/** Datagrams of a transport, counted as they are sent. */
import type { DatagramTransport } from '../../src/transport/datagram-transport.js';

/** The same transport; `noteSent` is called once a datagram. */
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
