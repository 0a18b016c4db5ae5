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

/** Accounts grant a tenth of it in a window in addition to the rate. */
const MUTATED_SLACK_FACTOR = 105;

/** Mutations that the fuzz test on tenant limits must detect. */
export const QUOTA_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'the quota owner of a tenant does not count the usage of other routers',
    rule: 'tenant-limit',
    mutation: { datagrams: omitAmounts },
  },
  {
    name: 'routers grant more than the tolerance of the operator allows',
    rule: 'tenant-limit',
    mutation: {
      settings: {
        quotaTolerance: {
          ...SIMULATION_QUOTA_TOLERANCE,
          slack: MUTATED_SLACK_FACTOR * SIMULATION_QUOTA_TOLERANCE.slack,
        },
      },
    },
  },
];
