/** Forwarded connections between simulated routers, as the listeners of all routers. */
import {
  ForwardingDecision,
  type ForwardingListener,
  type ForwardingPolicy,
  type ForwardingPort,
  type ForwardingTarget,
} from '../../protocol/peer/forwarding-port.js';
import type { HostClock } from '../simulation/host-clock.js';
import type { SimulatedNetwork } from '../simulation/simulated-network.js';
import { hostNameOf } from '../simulation/simulated-transports.js';
import type { EngineLink, EngineLinks } from './engine-links.js';

/** A connection that ends when the process of the forwarding router does. */
export interface ForwardedExchange {
  /** Breaks the connection. */
  breakForwarding(): void;
}

/** One router that forwards connections. */
export class SimulatedForwarder implements ForwardingListener {
  private readonly exchanges = new Set<ForwardedExchange>();

  constructor(
    readonly address: string,
    /** Link of the forwarding router to all engines. */
    readonly link: EngineLink,
    private readonly policy: ForwardingPolicy,
    private readonly host: HostClock,
  ) {}

  get openConnections(): number {
    return this.exchanges.size;
  }

  /** Whether the process of the forwarding router responds. */
  get isResponsive(): boolean {
    return this.host.isRunning;
  }

  decide(target: ForwardingTarget): ForwardingDecision {
    return this.policy.decide(target);
  }

  open(target: ForwardingTarget, exchange: ForwardedExchange): void {
    this.exchanges.add(exchange);
    this.policy.onConnected(target, true);
  }

  refuse(target: ForwardingTarget): void {
    this.policy.onConnected(target, false);
  }

  end(exchange: ForwardedExchange): void {
    this.exchanges.delete(exchange);
  }

  close(): void {
    for (const exchange of [...this.exchanges]) exchange.breakForwarding();
    this.exchanges.clear();
  }
}

/** The forwarders of all routers, by address. */
export class SimulatedForwarders {
  private readonly forwarders = new Map<string, SimulatedForwarder>();

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly links: EngineLinks,
  ) {}

  /** The forwarding port of one router. */
  portOf(router: string, host: HostClock): ForwardingPort {
    return {
      listen: (address, policy) => {
        const forwarder = new SimulatedForwarder(address, this.links.of(router), policy, host);
        this.forwarders.set(address, forwarder);
        return Promise.resolve(forwarder);
      },
    };
  }

  /** The forwarder at an address, unless it can't be reached from a router. */
  reach(router: string, address: string): SimulatedForwarder | undefined {
    const forwarder = this.forwarders.get(address);
    if (!forwarder?.isResponsive) return undefined;
    return this.network.isCut(router, hostNameOf(address)) ? undefined : forwarder;
  }

  /** Breaks all connections that a router forwards, because its process has ended. */
  closeOf(router: string): void {
    for (const [address, forwarder] of this.forwarders) {
      if (hostNameOf(address) !== router) continue;
      this.forwarders.delete(address);
      forwarder.close();
    }
  }
}
