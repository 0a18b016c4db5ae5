/** Access of one router to the engines: over its own path, or through other routers. */
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import {
  type EngineEndpoint,
  type InferencePort,
  ListenerState,
} from '../../../protocol/inference/port.js';
import type { ForwardingPort } from '../../../protocol/peer/forwarding-port.js';
import { memberKey } from '../../../state/member-key.js';
import type { EngineHealth } from '../../../state/routing/engine-health.js';
import { EnginePathState } from '../../../state/routing/engine-path.js';
import type { EngineRegistry } from '../../../state/routing/engine-registry.js';
import type { GatewayStatistics } from '../gateway-statistics.js';
import type { GroupMembership } from '../group-membership.js';
import type { RunningCalls } from '../running-calls.js';
import { EngineForwarding } from './engine-forwarding.js';
import { EnginePathMonitor } from './engine-path-monitor.js';

/** Dependencies of {@link EngineAccess}. */
export interface EngineAccessParts {
  readonly engines: InferencePort;
  readonly registry: EngineRegistry;
  readonly health: EngineHealth;
  readonly calls: RunningCalls;
  readonly group: GroupMembership;
  readonly statistics: GatewayStatistics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Monitors the path to the engines and reacts to its interruptions. */
export class EngineAccess {
  readonly path: EnginePathMonitor;

  constructor(
    private readonly parts: EngineAccessParts,
    readonly forwarding: EngineForwarding,
  ) {
    const firstTurn = memberKey(parts.group.own.nodeId);
    this.path = new EnginePathMonitor({ ...parts, firstTurn });
    this.path.onProbed = (isChanged) => this.handleProbe(isChanged);
    forwarding.connect({ ...parts, path: this.path });
  }

  /** Opens the listener for forwarded connections; it accepts none before its use in a router. */
  static openForwarding(
    address: string | undefined,
    dependencies: { readonly forwarding: ForwardingPort; readonly clock: Clock },
  ): Promise<EngineForwarding> {
    return EngineForwarding.open(address, dependencies.forwarding, dependencies.clock);
  }

  /** Whether this router can open connections to engines itself. */
  get hasPath(): boolean {
    return this.path.state === EnginePathState.Open;
  }

  /**
   * Tests whether an engine's address accepts connections, through another router if this one has no
   * path. Reports a refusal as that of the engine only if another engine accepts connections.
   */
  async checkEngine(endpoint: EngineEndpoint): Promise<ListenerState> {
    const { engines } = this.parts;
    let state: ListenerState | undefined;
    if (this.hasPath) {
      state = await engines.checkListener(endpoint);
      if (state !== ListenerState.Refused || (await this.path.verify())) return state;
    }
    const route = this.forwarding.routeTo(endpoint.id);
    if (route.kind === 'forwarded') return engines.checkListener(endpoint, route.forwarder.address);
    state ??= await engines.checkListener(endpoint);
    return state === ListenerState.Refused
      ? ListenerState.RefusedUnverified
      : ListenerState.Unresponsive;
  }

  start(): void {
    this.path.start();
  }

  /** Drops outdated state; must be called periodically. */
  maintain(): void {
    this.forwarding.maintain();
  }

  /** Stops to forward further connections. */
  leave(): void {
    this.forwarding.leave();
  }

  stop(): void {
    this.path.stop();
    this.forwarding.stop();
  }

  /** Handles a changed path, and each probe while it is interrupted. */
  private handleProbe(isChanged: boolean): void {
    const { group, health, calls } = this.parts;
    if (isChanged) {
      // The other routers learn whether this one can forward connections.
      group.reportNow();
      health.forgetUnreachable();
    }
    if (!this.hasPath) calls.failSendsWithoutPath(this.path.state);
  }
}
