/** Frame and datagram transports over the simulated network. Addresses are `HOSTNAME:PORT`. */
import type { DatagramSocket, DatagramTransport } from '../../transport/datagram-transport.js';
import { TransportFailure } from '../../transport/errors.js';
import type {
  FrameConnection,
  FrameListener,
  FrameTransport,
} from '../../transport/frame-transport.js';
import type { HostClock } from './host-clock.js';
import { TrafficMeter } from './traffic-meter.js';
import { OrderedPipe, type SimulatedNetwork } from './simulated-network.js';

const CONNECT_TIMEOUT_MS = 2_000;

/** Returns the host name in an address. */
export function hostNameOf(address: string): string {
  return address.slice(0, address.indexOf(':'));
}

/** Listeners, datagram receivers and open connections of all hosts. */
export class SimulatedSockets {
  readonly listeners = new Map<string, (connection: SimulatedConnection) => void>();
  readonly datagramReceivers = new Map<string, (datagram: Uint8Array) => void>();
  readonly connections = new Set<SimulatedConnection>();
  readonly traffic = new TrafficMeter();

  constructor(readonly network: SimulatedNetwork) {}

  /** Resets all connections of a host, as after a crash or a network failure. */
  resetConnections(hostName: string): void {
    for (const connection of [...this.connections]) {
      if (connection.localHost === hostName) connection.destroy();
    }
  }

  /** Removes the listeners of a crashed host. */
  removeListeners(hostName: string): void {
    for (const table of [this.listeners, this.datagramReceivers]) {
      for (const address of [...table.keys()]) {
        if (hostNameOf(address) === hostName) table.delete(address);
      }
    }
  }
}

/** One end of a simulated connection. */
export class SimulatedConnection implements FrameConnection {
  other: SimulatedConnection | undefined;
  private outgoing: OrderedPipe | undefined;
  private receiver: (frame: Uint8Array) => void = () => undefined;
  private bufferedFrames: Uint8Array[] = [];
  private hasReceiver = false;
  private closeCallbacks: (() => void)[] = [];
  private closed = false;

  constructor(
    private readonly sockets: SimulatedSockets,
    readonly localHost: string,
    readonly remoteAddress: string,
  ) {
    sockets.connections.add(this);
  }

  /** Connects this end to the other one. */
  join(other: SimulatedConnection, remoteHost: string, receiver: HostClock): void {
    this.other = other;
    this.outgoing = new OrderedPipe(this.sockets.network, this.localHost, remoteHost, receiver);
  }

  send(frame: Uint8Array): boolean {
    const { other } = this;
    if (this.closed || !other) return true;
    this.sockets.traffic.countFrame(frame);
    this.outgoing?.send(() => other.receive(frame));
    return true;
  }

  close(): void {
    const { other } = this;
    if (this.closed || !other) return;
    this.outgoing?.send(() => other.handleClosed());
    this.handleClosed();
  }

  destroy(): void {
    const { other, outgoing } = this;
    if (this.closed || !other) return;
    outgoing?.close();
    // Frames in flight are dropped; the other end sees the reset after a network delay.
    const resetDelayMs = this.sockets.network.delayMs();
    this.sockets.network.clock.setTimer(resetDelayMs, () => other.handleClosed());
    this.handleClosed();
  }

  onFrame(receiver: (frame: Uint8Array) => void): void {
    this.receiver = receiver;
    this.hasReceiver = true;
    for (const frame of this.bufferedFrames.splice(0)) receiver(frame);
  }

  onClose(callback: () => void): void {
    if (this.closed) queueMicrotask(callback);
    else this.closeCallbacks.push(callback);
  }

  onDrain(): void {
    // The simulated send buffer has no limit.
  }

  private receive(frame: Uint8Array): void {
    if (this.closed) return;
    if (this.hasReceiver) this.receiver(frame);
    else this.bufferedFrames.push(frame);
  }

  private handleClosed(): void {
    if (this.closed) return;
    this.closed = true;
    this.sockets.connections.delete(this);
    const callbacks = this.closeCallbacks;
    this.closeCallbacks = [];
    const host = this.sockets.network.hostOf(this.localHost);
    for (const callback of callbacks) host?.deliver(callback);
  }
}

/** Frame transport of one host. */
export class SimulatedFrameTransport implements FrameTransport {
  constructor(
    private readonly sockets: SimulatedSockets,
    private readonly hostName: string,
    private readonly host: HostClock,
  ) {}

  listen(
    address: string,
    onConnection: (connection: FrameConnection) => void,
  ): Promise<FrameListener> {
    this.sockets.listeners.set(address, onConnection);
    return Promise.resolve({
      address,
      close: () => {
        this.sockets.listeners.delete(address);
      },
    });
  }

  connect(address: string): Promise<FrameConnection> {
    const { network } = this.sockets;
    const remoteHost = hostNameOf(address);
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        const failure = new TransportFailure({ kind: 'connect-failed', address, reason });
        this.host.deliver(() => reject(failure));
      };
      if (network.isCut(this.hostName, remoteHost)) {
        network.clock.setTimer(CONNECT_TIMEOUT_MS, () => fail('timeout'));
        return;
      }
      network.clock.setTimer(2 * network.delayMs(), () => {
        const remote = network.hostOf(remoteHost);
        const onConnection = this.sockets.listeners.get(address);
        if (!remote || !onConnection) fail('refused');
        else this.host.deliver(() => resolve(this.establish(address, remote, onConnection)));
      });
    });
  }

  private establish(
    address: string,
    remote: HostClock,
    onConnection: (connection: SimulatedConnection) => void,
  ): FrameConnection {
    const remoteHost = hostNameOf(address);
    const localEnd = new SimulatedConnection(this.sockets, this.hostName, address);
    const remoteEnd = new SimulatedConnection(this.sockets, remoteHost, `${this.hostName}:0`);
    localEnd.join(remoteEnd, remoteHost, remote);
    remoteEnd.join(localEnd, this.hostName, this.host);
    remote.deliver(() => onConnection(remoteEnd));
    return localEnd;
  }
}

/** Datagram transport of one host. */
export class SimulatedDatagramTransport implements DatagramTransport {
  constructor(
    private readonly sockets: SimulatedSockets,
    private readonly hostName: string,
  ) {}

  bind(address: string, onDatagram: (datagram: Uint8Array) => void): Promise<DatagramSocket> {
    this.sockets.datagramReceivers.set(address, onDatagram);
    return Promise.resolve({
      address,
      send: (to, datagram) => this.send(to, datagram),
      close: () => {
        this.sockets.datagramReceivers.delete(address);
      },
    });
  }

  private send(to: string, datagram: Uint8Array): void {
    this.sockets.traffic.countDatagram(datagram);
    this.sockets.network.sendLossy(this.hostName, hostNameOf(to), () => {
      this.sockets.datagramReceivers.get(to)?.(datagram);
    });
  }
}
