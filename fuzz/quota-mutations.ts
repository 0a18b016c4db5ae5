/** Mutations that make routers exceed tenant limits. */
import { decodeClusterDatagram, encodeQuotaQuestion } from '../src/protocol/peer/cluster-codec.js';
import type { DatagramTransport } from '../src/transport/datagram-transport.js';
import { SIMULATION_QUOTA_TOLERANCE } from '../src/lab/gateway-simulation/simulation-fixtures.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Sets the amount of all quota requests to zero. */
function omitAmounts(transport: DatagramTransport): DatagramTransport {
  return {
    bind: async (address, onDatagram) => {
      const socket = await transport.bind(address, onDatagram);
      return {
        address: socket.address,
        send: (to, datagram) => socket.send(to, withoutAmount(datagram)),
        close: () => socket.close(),
      };
    },
  };
}

function withoutAmount(datagram: Uint8Array): Uint8Array {
  const body = decodeClusterDatagram(datagram);
  if (body?.case !== 'quotaQuestion') return datagram;
  return encodeQuotaQuestion({ ...body.value, amount: 0n });
}

/** Mutations that the fuzz test on tenant limits must detect. */
export const QUOTA_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'the account of a tenant forgets what other routers used',
    rule: 'tenant-limit',
    mutation: { datagrams: omitAmounts },
  },
  {
    name: 'routers grant more than operators tolerate',
    rule: 'tenant-limit',
    mutation: {
      settings: {
        quotaTolerance: {
          ...SIMULATION_QUOTA_TOLERANCE,
          slack: 30 * SIMULATION_QUOTA_TOLERANCE.slack,
        },
      },
    },
  },
];
