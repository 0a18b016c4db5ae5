/**
 * Connections to engines through other routers: chooses a forwarder while this router has no path
 * of its own, and forwards connections of others while it has one. A forwarded connection is always
 * direct at the forwarder, so that there is at most one hop.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { Forwarder, InferencePort } from '../../../protocol/inference/port.js';
import {
  ForwardingDecision,
  type ForwardingListener,
  type ForwardingPolicy,
  type ForwardingPort,
  type ForwardingTarget,
} from '../../../protocol/peer/forwarding-port.js';
import { EngineForwarders } from '../../../state/routing/engine-forwarders.js';
import { EnginePathState } from '../../../state/routing/engine-path.js';
import type { EngineRegistry } from '../../../state/routing/engine-registry.js';
import type { MemberUpdate } from '../../../state/membership.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import type { EnginePathMonitor } from './engine-path-monitor.js';

/** How an engine is reached. */
export type EngineRoute =
  | { readonly kind: 'direct' }
  | { readonly kind: 'forwarded'; readonly forwarder: Forwarder }
  /** Neither this router nor any other that it knows of can reach engines. */
  | { readonly kind: 'unreachable' };

/** Dependencies of {@link EngineForwarding} that exist only after its listener was opened. */
export interface EngineForwardingParts {
  readonly group: { readonly own: MemberUpdate; readonly working: readonly MemberUpdate[] };
  readonly path: EnginePathMonitor;
  readonly registry: EngineRegistry;
  readonly engines: InferencePort;
  readonly statistics: GatewayStatistics;
}

/** Connections forwarded at the same time, so that a router's own callers are not held up. */
const MAXIMUM_CONNECTIONS = 256;
const DIRECT: EngineRoute = { kind: 'direct' };
const UNREACHABLE: EngineRoute = { kind: 'unreachable' };

/** Client and server of forwarded connections at one router. */
export class EngineForwarding implements ForwardingPolicy {
  private readonly forwarders = new EngineForwarders();
  private listener: ForwardingListener | undefined;
  private parts: EngineForwardingParts | undefined;
  private isLeaving = false;

  private constructor(private readonly clock: Clock) {}

  /** @param address to listen at, HOST:PORT; undefined if this router doesn't forward connections */
  static async open(
    address: string | undefined,
    port: ForwardingPort,
    clock: Clock,
  ): Promise<EngineForwarding> {
    const forwarding = new EngineForwarding(clock);
    if (address !== undefined) forwarding.listener = await port.listen(address, forwarding);
    return forwarding;
  }

  /** Must be called before the first request. */
  connect(parts: EngineForwardingParts): void {
    this.parts = parts;
  }

  /** Address for reports to other routers; empty while this router doesn't forward connections. */
  get offeredAddress(): string {
    return this.mayForward ? (this.listener?.address ?? '') : '';
  }

  /** Connections that this router forwards for others. */
  get openConnections(): number {
    return this.listener?.openConnections ?? 0;
  }

  /** Applies the address in another router's report. */
  receiveOffer(nodeId: string, address: string): void {
    this.forwarders.receive(nodeId, address, this.clock.now());
  }

  /** How an exchange with an engine is connected. */
  routeTo(engineId: string): EngineRoute {
    const { parts } = this;
    if (!parts || parts.path.state === EnginePathState.Open) return DIRECT;
    const { own, working } = parts.group;
    const address = this.forwarders.choose(engineId, own, working, this.clock.now());
    if (address === undefined) return UNREACHABLE;
    const keepsDirectConnections = parts.path.state === EnginePathState.Refusing;
    return { kind: 'forwarded', forwarder: { address, keepsDirectConnections } };
  }

  /** Records that a forwarder did not connect to an engine. */
  noteFailure({ address }: Forwarder): void {
    this.forwarders.noteFailure(address, this.clock.now());
  }

  /** Closes idle connections that are no longer used; must be called periodically. */
  maintain(): void {
    this.forwarders.expire(this.clock.now());
    const isDirect = this.parts?.path.state === EnginePathState.Open;
    this.parts?.engines.retainForwarders(isDirect ? new Set() : this.forwarders.addresses);
  }

  decide({ engineId, address }: ForwardingTarget): ForwardingDecision {
    const { parts } = this;
    if (!parts || !this.mayForward) return ForwardingDecision.Refused;
    const engine = parts.registry.find(engineId);
    if (engine?.record.address !== address) return ForwardingDecision.EngineUnknown;
    return ForwardingDecision.Accepted;
  }

  onConnected({ engineId }: ForwardingTarget, isSuccess: boolean): void {
    if (!this.parts) return;
    if (isSuccess) this.parts.statistics.forwardedConnections += 1;
    this.parts.path.noteConnection(engineId, isSuccess);
  }

  /** Stops to forward further connections; other routers are still used. */
  leave(): void {
    this.isLeaving = true;
    this.forwarders.keepOffers();
  }

  /** Closes all forwarded connections. */
  stop(): void {
    this.isLeaving = true;
    this.listener?.close();
  }

  private get mayForward(): boolean {
    const hasPath = this.parts?.path.state === EnginePathState.Open;
    return hasPath && !this.isLeaving && this.openConnections < MAXIMUM_CONNECTIONS;
  }
}
