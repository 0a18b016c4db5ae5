/** What a router needs from its process. */
import type { Clock } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';
import type { FrameTransport } from '../../transport/frame-transport.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { ObjectStorePort } from '../../protocol/object-store/port.js';
import type { ForwardingPort } from '../../protocol/peer/forwarding-port.js';
import type { ObjectDecoder } from './object-decoder.js';

/** External dependencies of a router. */
export interface GatewayDependencies {
  readonly clock: Clock;
  /** Monotonic time at which the process started; defaults to the construction of the node. */
  readonly startedMs?: number;
  readonly random: RandomSource;
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly datagrams: DatagramTransport;
  readonly frames: FrameTransport;
  readonly store: ObjectStorePort;
  readonly engines: InferencePort;
  readonly forwarding: ForwardingPort;
  readonly decoder: ObjectDecoder;
}
