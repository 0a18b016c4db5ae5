/** Mutations of a simulated deployment. */
import type { GatewaySettings } from '../../coordination/gateway/gateway-settings.js';
import type { ShutdownSchedule } from '../../coordination/gateway/shutdown.js';
import type { ObjectDecoder } from '../../coordination/gateway/object-decoder.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { TenantLimit } from '../../state/routing/quota/tenant-limit.js';
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';

/** A router's access to engines: their responses and their decoded entries. */
export interface RouterView {
  readonly engines: InferencePort;
  readonly decoder: ObjectDecoder;
}

/** Parts of a deployment that a mutation changes, to check that the oracle detects it. */
export interface SimulationMutation {
  readonly settings?: Partial<GatewaySettings>;
  readonly decoder?: (decoder: ObjectDecoder) => ObjectDecoder;
  /**
   * Called once per deployment, with its clock; the result is applied to the view of each router at
   * its start.
   */
  readonly makeView?: (clock: Clock) => (view: RouterView) => RouterView;
  /** Limit of each tenant; undefined: no limit. */
  readonly tenantLimit?: TenantLimit;
  /** Receives the log lines of all routers. */
  readonly logger?: Logger;
  /** Wraps the transport for datagrams between routers. */
  readonly datagrams?: (transport: DatagramTransport) => DatagramTransport;
  /** Changes when a router that stops ends, as it believes; `delayMs` is how late it noticed its signal. */
  readonly shutdown?: (schedule: ShutdownSchedule, delayMs: number) => ShutdownSchedule;
  /** False: the monotonic clock does not advance during a suspension. */
  readonly countsSuspensions?: boolean;
  /** False: responses of the store carry no eras. */
  readonly seesEras?: boolean;
  /** True: requests to a router that is paused wait in its sockets; by default they are not sent. */
  readonly keepsRequestsOfPaused?: boolean;
}
