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
import { OrderFault, type SimulatedFleet } from './simulated-fleet.js';
import { CRASHING_BODY } from './simulation-fixtures.js';

const LOAD_MS = 300;
const REPORT_TIMEOUT_MS = 400;
/** An order that the network holds up arrives this much later. */
const LATE_ORDER_MS = 2_500;
const NO_ANSWER: OrderResult = { kind: 'unknown', reason: 'silent' };

/** One router's access to the engines. */
export class SimulatedInference implements InferencePort {
  private readonly exchanges = new Set<SimulatedExchange>();

  constructor(
    private readonly fleet: SimulatedFleet,
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
    this.noteStray(endpoint);
    const exchange = new SimulatedExchange(request, options, listener, this.clock, this.host);
    this.exchanges.add(exchange);
    this.clock.setTimer(WAY_MS, () => this.arrive(endpoint, exchange, options, request));
    return exchange;
  }

  checkListener({ address }: EngineEndpoint): Promise<ListenerState> {
    return this.answer(() => {
      if (this.fleet.cutAt(address)) return ListenerState.Silent;
      const isRunning = this.fleet.at(address)?.isRunning ?? false;
      return isRunning ? ListenerState.Listening : ListenerState.Refused;
    }, ListenerState.Silent);
  }

  order(endpoint: EngineEndpoint, order: WeightOrder): Promise<OrderResult> {
    this.noteStray(endpoint);
    const sentMs = this.clock.now();
    const fault = this.fleet.orderFaults.shift();
    return this.answer(() => {
      if (fault === OrderFault.Late) {
        this.clock.setTimer(LATE_ORDER_MS, () => this.takeOrder(endpoint, order, sentMs));
        return NO_ANSWER;
      }
      if (this.fleet.cutAt(endpoint.address)) return NO_ANSWER;
      const result = this.takeOrder(endpoint, order, sentMs);
      return fault === OrderFault.AnswerLost ? NO_ANSWER : result;
    }, NO_ANSWER);
  }

  weightState(endpoint: EngineEndpoint): Promise<WeightState | undefined> {
    return this.answer(() => {
      if (this.fleet.cutAt(endpoint.address)) return undefined;
      const engine = this.engineOf(endpoint);
      return (
        engine && {
          bornMs: engine.bornMs,
          version: engine.weightsVersion,
          isBusy: engine.isLoading,
          orderSequence: engine.sequence,
        }
      );
    }, undefined);
  }

  cacheEvents(address: string, since: number, waitMs: number): Promise<CacheEventPage> {
    return new Promise((resolve) => {
      this.clock.setTimer(waitMs, () =>
        this.host.deliver(() => {
          const bornMs = this.fleet.at(address)?.bornMs;
          resolve({ bornMs, epoch: bornMs ?? 1, next: since, hasGap: false, events: [] });
        }),
      );
    });
  }

  cacheContents(address: string): Promise<CacheContents> {
    const bornMs = this.fleet.at(address)?.bornMs;
    return Promise.resolve({ bornMs, epoch: bornMs ?? 1, next: 0, held: [] });
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
    const hanging = this.fleet.cutAt(endpoint.address);
    if (hanging) {
      hanging.add(exchange);
      return;
    }
    const engine = this.fleet.at(endpoint.address);
    if (!engine?.isRunning) {
      exchange.fail('not-sent');
      return;
    }
    const isOther = engine.name !== options.expectedInstance;
    const isOtherVersion =
      options.expectedVersion !== undefined && options.expectedVersion !== engine.weightsVersion;
    if (isOther || isOtherVersion) {
      exchange.refuse(421);
      return;
    }
    this.noteArrival(engine, exchange, request.id);
    if (engine.mode === EngineMode.Busy || isLoadingModel(engine)) {
      exchange.refuse(503);
      return;
    }
    const begin = (): void => this.begin(engine, exchange, options, request);
    if (engine.queueMs === 0) begin();
    else exchange.waitInQueue(engine.queueMs, begin);
  }

  private noteArrival(
    engine: SimulatedEngine,
    exchange: SimulatedExchange,
    requestId: string,
  ): void {
    const { arrivals, notices } = this.observations;
    const { router } = this;
    const engineId = engine.id;
    arrivals.push({ requestId, engineId, router, atMs: this.clock.now() });
    exchange.reach(engine, (notice, answeredMs) => {
      notices.push({ ...notice, engineId, router, answeredMs });
    });
  }

  /** The request begins to run, on the weights that the engine has by now. */
  private begin(
    engine: SimulatedEngine,
    exchange: SimulatedExchange,
    options: SendOptions,
    request: ForwardedRequest,
  ): void {
    if (!engine.isRunning) {
      exchange.fail('unknown');
      return;
    }
    if (isLoadingModel(engine)) {
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

  private takeOrder(endpoint: EngineEndpoint, order: WeightOrder, sentMs: number): OrderResult {
    const engine = this.engineOf(endpoint);
    if (!engine?.takesOrders) return NO_ANSWER;
    const { bornMs } = engine;
    if (order.fencingToken < engine.highestToken) return { kind: 'rejected', status: 412, bornMs };
    engine.highestToken = order.fencingToken;
    if (engine.isLoading || order.expectedSequence !== engine.sequence) {
      return { kind: 'rejected', status: 409, bornMs };
    }
    if (engine.weightsVersion >= order.version) return { kind: 'already-done', bornMs };
    engine.sequence += 1;
    engine.isLoading = true;
    this.observations.orders.push({
      engineId: engine.id,
      holder: order.holder,
      token: order.fencingToken,
      sentMs,
    });
    this.clock.setTimer(LOAD_MS, () => {
      engine.isLoading = false;
      engine.weightsVersion = order.version;
    });
    return { kind: 'accepted', bornMs };
  }

  /** The engine of that name at the address, whichever of its lives. */
  private engineOf({ name, address }: EngineEndpoint): SimulatedEngine | undefined {
    const engine = this.fleet.at(address);
    return engine?.isRunning && engine.name === name ? engine : undefined;
  }

  private noteStray({ name }: EngineEndpoint): void {
    if (!this.fleet.isOddName(name)) return;
    this.observations.strays.push({ entry: name, router: this.router, atMs: this.clock.now() });
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

function isLoadingModel(engine: SimulatedEngine): boolean {
  return engine.isLoading && engine.model !== undefined;
}
