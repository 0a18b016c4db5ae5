/** One router's access to the simulated engines: the inference port without sockets. */
import {
  type CacheContents,
  type CacheEventPage,
  type EngineEndpoint,
  type Exchange,
  type ExchangeListener,
  type ForwardedRequest,
  type InferencePort,
  ListenerState,
  type OrderResult,
  type SendOptions,
  type WeightOrder,
  type WeightState,
} from '../../protocol/inference/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';
import {
  EngineMode,
  type EngineObservations,
  type ObservedRun,
  type SimulatedEngine,
} from './simulated-engine.js';
import { SimulatedExchange, WAY_MS } from './simulated-exchange.js';
import { CRASHING_BODY } from './world-fixtures.js';

const LOAD_MS = 300;
const REPORT_TIMEOUT_MS = 400;

/** One router's access to the engines. */
export class SimulatedInference implements InferencePort {
  private readonly exchanges = new Set<SimulatedExchange>();

  constructor(
    private readonly engineAt: (address: string) => SimulatedEngine | undefined,
    private readonly observations: EngineObservations,
    private readonly clock: Clock,
    private readonly host: HostClock,
    private readonly router: string,
  ) {}

  send(
    endpoint: EngineEndpoint,
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
  ): Exchange {
    const exchange = new SimulatedExchange(request, options, listener, this.clock, this.host);
    this.exchanges.add(exchange);
    this.clock.setTimer(WAY_MS, () => this.arrive(endpoint, exchange, options, request));
    return exchange;
  }

  checkListener(endpoint: EngineEndpoint): Promise<ListenerState> {
    return this.answer(() => {
      const isRunning = this.engineAt(endpoint.address)?.isRunning ?? false;
      return isRunning ? ListenerState.Listening : ListenerState.Refused;
    }, ListenerState.Silent);
  }

  order(endpoint: EngineEndpoint, order: WeightOrder): Promise<OrderResult> {
    return this.answer(() => this.takeOrder(endpoint, order), {
      kind: 'unknown',
      reason: 'silent',
    });
  }

  weightState(endpoint: EngineEndpoint): Promise<WeightState | undefined> {
    return this.answer(() => {
      const engine = this.engineOf(endpoint);
      return (
        engine && {
          version: engine.weightsVersion,
          isBusy: engine.isLoading,
          orderSequence: engine.sequence,
        }
      );
    }, undefined);
  }

  cacheEvents(_address: string, since: number, waitMs: number): Promise<CacheEventPage> {
    return new Promise((resolve) => {
      const page = { epoch: 1, next: since, hasGap: false, events: [] };
      this.clock.setTimer(waitMs, () => this.host.deliver(() => resolve(page)));
    });
  }

  cacheContents(): Promise<CacheContents> {
    return Promise.resolve({ epoch: 1, next: 0, held: [] });
  }

  retain(): void {
    // Simulated connections cost nothing.
  }

  /** The router's process has ended: its connections break. */
  breakAll(): void {
    for (const exchange of this.exchanges) exchange.cancel();
  }

  private arrive(
    endpoint: EngineEndpoint,
    exchange: SimulatedExchange,
    options: SendOptions,
    request: ForwardedRequest,
  ): void {
    if (exchange.isOver) return;
    const engine = this.engineAt(endpoint.address);
    if (!engine?.isRunning) {
      exchange.fail('not-sent');
      return;
    }
    const isOther = engine.id !== options.expectedInstance;
    const isOtherVersion =
      options.expectedVersion !== undefined && options.expectedVersion !== engine.weightsVersion;
    if (isOther || isOtherVersion) {
      exchange.refuse(421);
      return;
    }
    if (engine.mode === EngineMode.Busy || (engine.isLoading && engine.model !== undefined)) {
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
      endedMs: undefined,
    };
    this.observations.runs.push(run);
    const body = Buffer.from(request.body).toString();
    if (!body.startsWith(CRASHING_BODY)) {
      exchange.run(engine, run);
      return;
    }
    const crash = {
      request: [options.tenant, request.target, body].join(' '),
      router: this.router,
      arrivedMs: this.clock.now(),
      crashedMs: undefined,
    };
    this.observations.crashes.push(crash);
    exchange.crash(engine, run, crash);
  }

  private takeOrder(endpoint: EngineEndpoint, order: WeightOrder): OrderResult {
    const engine = this.engineOf(endpoint);
    if (!engine) return { kind: 'unknown', reason: 'silent' };
    if (order.fencingToken < engine.highestToken) return { kind: 'rejected', status: 412 };
    engine.highestToken = order.fencingToken;
    if (engine.isLoading || order.expectedSequence !== engine.sequence) {
      return { kind: 'rejected', status: 409 };
    }
    if (engine.weightsVersion >= order.version) return { kind: 'already-done' };
    engine.sequence += 1;
    engine.isLoading = true;
    this.observations.orders.push({
      engineId: engine.id,
      holder: order.holder,
      token: order.fencingToken,
      takenMs: this.clock.now(),
    });
    this.clock.setTimer(LOAD_MS, () => {
      engine.isLoading = false;
      engine.weightsVersion = order.version;
    });
    return { kind: 'accepted' };
  }

  private engineOf(endpoint: EngineEndpoint): SimulatedEngine | undefined {
    const engine = this.engineAt(endpoint.address);
    return engine?.isRunning && engine.id === endpoint.name ? engine : undefined;
  }

  private answer<Result>(action: () => Result, silent: Result): Promise<Result> {
    return new Promise((resolve) => {
      this.clock.setTimer(WAY_MS, () => {
        const result = action();
        const delayMs = result === silent ? REPORT_TIMEOUT_MS : WAY_MS;
        this.clock.setTimer(delayMs, () => this.host.deliver(() => resolve(result)));
      });
    });
  }
}
