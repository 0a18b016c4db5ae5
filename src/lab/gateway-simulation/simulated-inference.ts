/** Inference port of one router that reaches simulated engines without sockets. */
import {
  type CacheContents,
  type CacheEventPage,
  type DatedEndpoint,
  type EngineEndpoint,
  type Exchange,
  type ExchangeListener,
  type ForwardedRequest,
  type IncarnationCheck,
  type InferencePort,
  ListenerState,
  UNKNOWN_INCARNATION,
  type LoadCommandResult,
  type SendOptions,
  type LoadCommandRequest,
  type WeightState,
} from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';
import { ForwardingDecision } from '../../protocol/peer/forwarding-port.js';
import type { SimulatedForwarders } from './simulated-forwarding.js';
import { type EngineLink, LinkDirection } from './engine-links.js';
import {
  EngineMode,
  type EngineObservations,
  type ObservedRun,
  type SimulatedEngine,
  UNFINISHED_RUN,
  weightStateOf,
} from './simulated-engine.js';
import { checkIncarnationAt, listenerStateAt } from './simulated-listener.js';
import { crashCauseOf } from './crash-cause.js';
import { SimulatedExchange, NETWORK_DELAY_MS } from './simulated-exchange.js';
import { LoadCommandFault, type SimulatedFleet } from './simulated-fleet.js';
import { applyLoadCommand } from './simulated-load-commands.js';

const REPORT_TIMEOUT_MS = 400;
/** Delay of a load command with `LoadCommandFault.Late`. */
const LATE_COMMAND_MS = 2_500;
const NO_RESPONSE: LoadCommandResult = { kind: 'unknown', reason: 'silent' };

/** Time until a request to forward a connection arrives at the other router. */
const FORWARDING_DELAY_MS = 3;
/** Time after which the attempt to open a connection that gets no response fails. */
const CONNECT_TIMEOUT_MS = 350;

/** Parts of the deployment that a router reaches engines through. */
export interface SimulatedInferenceParts {
  readonly fleet: SimulatedFleet;
  readonly observations: EngineObservations;
  readonly clock: Clock;
  /** Process of the router. */
  readonly host: HostClock;
  /** Link of the router to all engines. */
  readonly link: EngineLink;
  /** Routers that forward connections; none if undefined. */
  readonly forwarders?: SimulatedForwarders;
}

/** Inference port of one router. */
export class SimulatedInference implements InferencePort {
  private readonly exchanges = new Set<SimulatedExchange>();
  private readonly fleet: SimulatedFleet;
  private readonly observations: EngineObservations;
  private readonly clock: Clock;
  private readonly host: HostClock;
  private readonly link: EngineLink;
  private readonly forwarders: SimulatedForwarders | undefined;

  constructor(
    { fleet, observations, clock, host, link, forwarders }: SimulatedInferenceParts,
    private readonly router: string,
  ) {
    this.fleet = fleet;
    this.observations = observations;
    this.clock = clock;
    this.host = host;
    this.link = link;
    this.forwarders = forwarders;
    link.onReset = () => {
      for (const exchange of [...this.exchanges]) exchange.reset();
    };
  }

  send(
    endpoint: EngineEndpoint,
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
  ): Exchange {
    this.recordMalformedUse(endpoint);
    const { forwarder } = options;
    const keepsDirect = forwarder?.keepsDirectConnections && this.link.hasConnection(endpoint.id);
    if (forwarder && !keepsDirect)
      return this.sendForwarded(forwarder.address, endpoint, request, options, listener);
    const { clock, link } = this;
    const exchange = this.open(request, options, listener, link);
    exchange.onClosed = (isComplete) => {
      this.exchanges.delete(exchange);
      if (isComplete) link.returnConnection(endpoint.id);
    };
    const isNew = !link.takeConnection(endpoint.id);
    if (isNew && link.cut !== undefined) {
      const delayMs = link.isUnresponsive ? CONNECT_TIMEOUT_MS : 2 * NETWORK_DELAY_MS;
      clock.setTimer(delayMs, () => exchange.failToConnect());
      return exchange;
    }
    if (!isNew) exchange.noteConnected({ isNew, isForwarded: false });
    clock.setTimer(NETWORK_DELAY_MS, () =>
      link.carry(LinkDirection.ToEngine, () => this.arrive(endpoint, exchange, options, request)),
    );
    return exchange;
  }

  private open(
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
    link: EngineLink,
  ): SimulatedExchange {
    const { clock, host, observations } = this;
    const exchange = new SimulatedExchange(request, options, listener, clock, host, link);
    exchange.onBrokenOff = () =>
      observations.disconnects.push({ requestId: request.id, atMs: clock.now() });
    this.exchanges.add(exchange);
    return exchange;
  }

  private sendForwarded(
    address: string,
    endpoint: EngineEndpoint,
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
  ): Exchange {
    const forwarder = this.forwarders?.reach(this.router, address);
    const link = forwarder?.link ?? this.link;
    const exchange = this.open(request, options, listener, link);
    exchange.onClosed = () => {
      this.exchanges.delete(exchange);
      forwarder?.end(exchange);
    };
    const target = { engineId: endpoint.id, address: endpoint.address };
    this.clock.setTimer(FORWARDING_DELAY_MS, () => {
      if (exchange.isEnded) return;
      const isAccepted = forwarder?.decide(target) === ForwardingDecision.Accepted;
      if (!forwarder?.isResponsive || !isAccepted) {
        exchange.failToConnect(true);
        return;
      }
      if (link.cut !== undefined) {
        forwarder.refuse(target);
        this.clock.setTimer(CONNECT_TIMEOUT_MS, () => exchange.failToConnect());
        return;
      }
      forwarder.open(target, exchange);
      exchange.noteConnected({ isNew: true, isForwarded: true });
      link.carry(LinkDirection.ToEngine, () => this.arrive(endpoint, exchange, options, request));
    });
    return exchange;
  }

  checkListener({ address }: EngineEndpoint, forwarder?: string): Promise<ListenerState> {
    return this.respond(
      () => listenerStateAt(this.fleet, this.linkOver(forwarder), address),
      ListenerState.Unresponsive,
    );
  }

  checkIncarnation(endpoint: DatedEndpoint, forwarder?: string): Promise<IncarnationCheck> {
    const check = () => checkIncarnationAt(this.fleet, this.linkOver(forwarder), endpoint);
    return this.respond(check, UNKNOWN_INCARNATION);
  }

  /** The link to engines, this router's own or that of a forwarder that it reaches. */
  private linkOver(forwarder: string | undefined): EngineLink | undefined {
    if (forwarder === undefined) return this.link;
    return this.forwarders?.reach(this.router, forwarder)?.link;
  }

  sendLoadCommand(
    endpoint: EngineEndpoint,
    command: LoadCommandRequest,
  ): Promise<LoadCommandResult> {
    this.recordMalformedUse(endpoint);
    const sentMs = this.clock.now();
    const fault = this.fleet.loadCommandFaults.shift();
    return this.respond(() => {
      if (fault === LoadCommandFault.Late) {
        this.clock.setTimer(LATE_COMMAND_MS, () =>
          this.applyLoadCommand(endpoint, command, sentMs),
        );
        return NO_RESPONSE;
      }
      if (this.isCutFrom(endpoint)) return NO_RESPONSE;
      const result = this.applyLoadCommand(endpoint, command, sentMs);
      return fault === LoadCommandFault.ResponseLost ? NO_RESPONSE : result;
    }, NO_RESPONSE);
  }

  readWeightState(endpoint: EngineEndpoint): Promise<WeightState | undefined> {
    return this.respond(() => {
      if (this.isCutFrom(endpoint)) return undefined;
      return weightStateOf(this.engineOf(endpoint));
    }, undefined);
  }

  cacheEvents(address: string, since: number, waitMs: number): Promise<CacheEventPage> {
    return new Promise((resolve) => {
      this.clock.setTimer(waitMs, () =>
        this.host.deliver(() => {
          const startedAtMs = this.fleet.latestAt(address)?.startedAtMs;
          resolve({ startedAtMs, epoch: startedAtMs ?? 1, next: since, hasGap: false, events: [] });
        }),
      );
    });
  }

  cacheContents(address: string): Promise<CacheContents> {
    const startedAtMs = this.fleet.latestAt(address)?.startedAtMs;
    return Promise.resolve({ startedAtMs, epoch: startedAtMs ?? 1, next: 0, held: [] });
  }

  retain(): void {
    // There are no connections to close.
  }

  retainForwarders(): void {
    // Forwarded connections are not kept after an exchange.
  }

  /** Breaks all connections because the router's process has ended. */
  breakAll(): void {
    for (const exchange of [...this.exchanges]) exchange.cancel();
    this.link.closeConnections();
  }

  private isCutFrom({ address }: EngineEndpoint): boolean {
    return this.link.cut !== undefined || this.fleet.partitionAt(address) !== undefined;
  }

  private arrive(
    endpoint: EngineEndpoint,
    exchange: SimulatedExchange,
    options: SendOptions,
    request: ForwardedRequest,
  ): void {
    if (exchange.isEnded) return;
    const pending = this.fleet.partitionAt(endpoint.address);
    if (pending) {
      pending.add(exchange);
      return;
    }
    const engine = this.fleet.latestAt(endpoint.address);
    if (!engine?.isRunning) {
      this.clock.setTimer(NETWORK_DELAY_MS, () => exchange.failToConnect());
      return;
    }
    exchange.noteConnected({ isNew: true, isForwarded: false });
    const { expectedInstance, expectedVersion = engine.weightsVersion } = options;
    const isOther = engine.name !== expectedInstance;
    const isOtherVersion = expectedVersion !== engine.weightsVersion;
    if (isOther || isOtherVersion) {
      exchange.refuse(421);
      return;
    }
    this.recordArrival(engine, exchange, request.id);
    if (engine.mode === EngineMode.Busy || engine.isLoadingModel) {
      exchange.refuse(503);
      return;
    }
    this.queueOrStart(engine, exchange, () => this.startRun(engine, exchange, options, request));
  }

  private queueOrStart(
    engine: SimulatedEngine,
    exchange: SimulatedExchange,
    start: () => void,
  ): void {
    const { capacity } = engine;
    const nowMs = this.clock.now();
    const slotMs = capacity ? engine.reserveSlot(capacity, nowMs) : 0;
    if (slotMs === undefined) {
      exchange.refuse(503);
      const routers = engine.noteRejection(this.router, nowMs);
      if (!routers) return;
      const { id: engineId, service } = engine;
      this.observations.falls.push({ engineId, service, atMs: nowMs, routers });
      engine.crashAndRestart();
      return;
    }
    const queueMs = engine.queueMs + slotMs;
    if (queueMs === 0) {
      start();
      return;
    }
    engine.waiting += 1;
    this.clock.setTimer(queueMs, () => {
      engine.waiting -= 1;
    });
    exchange.waitInQueue(queueMs, start);
  }

  private recordArrival(
    engine: SimulatedEngine,
    exchange: SimulatedExchange,
    requestId: string,
  ): void {
    const { arrivals, notices } = this.observations;
    const { router } = this;
    const engineId = engine.id;
    arrivals.push({ requestId, engineId, router, atMs: this.clock.now() });
    exchange.reach(engine, (notice, respondedMs) => {
      notices.push({ ...notice, engineId, router, respondedMs });
    });
  }

  /** Starts the request with the weights that the engine has now. */
  private startRun(
    engine: SimulatedEngine,
    exchange: SimulatedExchange,
    options: SendOptions,
    request: ForwardedRequest,
  ): void {
    if (!engine.isRunning) {
      exchange.fail('unknown');
      return;
    }
    if (engine.isLoadingModel) {
      exchange.refuse(503);
      return;
    }
    const run: ObservedRun = {
      requestId: request.id,
      engineId: engine.id,
      service: engine.service,
      router: this.router,
      tenant: options.tenant,
      salt: options.cacheSalt,
      weightsVersion: engine.weightsVersion,
      startedMs: this.clock.now(),
      ...UNFINISHED_RUN,
    };
    this.observations.runs.push(run);
    const cause = crashCauseOf(request, options.tenant);
    if (!cause) {
      exchange.run(engine, run);
      return;
    }
    const { requestId, router, startedMs: arrivedMs } = run;
    const crash = { ...cause, requestId, router, arrivedMs, crashedMs: undefined };
    this.observations.crashes.push(crash);
    exchange.crash(engine, run, crash);
  }

  private applyLoadCommand(
    endpoint: EngineEndpoint,
    command: LoadCommandRequest,
    sentMs: number,
  ): LoadCommandResult {
    const engine = this.engineOf(endpoint);
    if (!engine?.acceptsLoadCommands) return NO_RESPONSE;
    return applyLoadCommand(engine, { ...command, sentMs }, this.observations, this.clock);
  }

  /** Running incarnation at the endpoint's address, if the engine's name matches. */
  private engineOf({ name, address }: EngineEndpoint): SimulatedEngine | undefined {
    const engine = this.fleet.latestAt(address);
    return engine?.isRunning && engine.name === name ? engine : undefined;
  }

  private recordMalformedUse({ name }: EngineEndpoint): void {
    if (!this.fleet.isMalformedEntryName(name)) return;
    this.observations.malformedUses.push({
      entry: name,
      router: this.router,
      atMs: this.clock.now(),
    });
  }

  private respond<Result>(action: () => Result, timeoutResult: Result): Promise<Result> {
    return new Promise((resolve) => {
      this.clock.setTimer(NETWORK_DELAY_MS, () => {
        const result = action();
        const delayMs = result === timeoutResult ? REPORT_TIMEOUT_MS : NETWORK_DELAY_MS;
        this.clock.setTimer(delayMs, () => this.host.deliver(() => resolve(result)));
      });
    });
  }
}
