/** How a simulated deployment differs from a sound one. */
import type { GatewaySettings } from '../../coordination/gateway/gateway-settings.js';
import type { ObjectDecoder } from '../../coordination/gateway/object-decoder.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';

/** What a router sees of the engines: their answers and, decoded, their entries. */
export interface RouterView {
  readonly engines: InferencePort;
  readonly decoder: ObjectDecoder;
}

/** Parts of a deployment that a mutation may weaken, to see that the oracle finds it. */
export interface SimulationMutation {
  readonly settings?: Partial<GatewaySettings>;
  readonly decoder?: (decoder: ObjectDecoder) => ObjectDecoder;
  /** Called once for a deployment: what changes the view of each of its routers, as they start. */
  readonly makeView?: () => (view: RouterView) => RouterView;
  /** What each tenant may use; undefined: no limit. */
  readonly tenantLimit?: TenantLimit;
  /** Changes what a router sends to others. */
  readonly datagrams?: (transport: DatagramTransport) => DatagramTransport;
  /** False: routers take the steady clock for one that counts suspensions. */
  readonly countsSuspensions?: boolean;
  /** False: routers do not see the store's eras. */
  readonly seesEras?: boolean;
}
