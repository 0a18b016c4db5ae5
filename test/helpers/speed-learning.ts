/** Routers that learn the speeds of batching engines from simulated streams and share them. */
import { StreamPauses } from '../../src/state/routing/stream-pauses.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import type { EngineSpeedEntry } from '../../src/coordination/gateway/observation-exchange.js';
import { EngineSpeedExchange } from '../../src/coordination/gateway/engine-speed-exchange.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import type { Logger, LogFields } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { BatchingEngine } from './batching-engine.js';
import { engineRecord } from './engine-record.js';

export const RELATIVE_SPEEDS = [0.6, 1, 1.6];
export const STEP_MS = 6.17;
export const TOKENS_PER_EVENT = 5;
export const PREFILL_TOKENS_PER_MS = 30.9;
const SLOTS = 24;
const CACHE_TOKENS = 86_832;
const CHUNK_TOKENS = 2_048;
const NOISE_FACTOR = 2.5;
const NOISE_SHARE = 1 / 7;
const NOISE_MS = 600;
const ROUND_MS = 200;
const NETWORK_MS = 2;
const MAXIMUM_ENTRIES = 20;
/** Number of engines that serve the following requests. */
const REFERENCE_ENGINES = 63;
const SHORT_PER_SECOND = 125;
const LONG_PER_SECOND = 91;
const TOPICS_PER_ENGINE = 6;

/** Keeps the lines of a log. */
export class RecordingLogger implements Logger {
  readonly lines: { readonly event: string; readonly fields: LogFields | undefined }[] = [];
  debug(): void {}
  info(event: string, fields?: LogFields): void {
    this.lines.push({ event, fields });
  }
  warn(): void {}
  error(): void {}
}

/** A part with its dependencies, for a router that knows the given engines. */
export function speedExchange(nodeId: string, registry: EngineRegistry, clock: VirtualClock) {
  const statistics = new GatewayStatistics();
  const logger = new RecordingLogger();
  const part = new EngineSpeedExchange({ nodeId, registry, statistics, clock, logger });
  return { nodeId, part, statistics, logger };
}

/** A simulated engine with noise; `disturbance` multiplies the duration of its steps. */
class NoisyEngine {
  readonly engine: BatchingEngine;
  disturbance = 1;
  private noiseUntilMs = 0;

  constructor(
    clock: VirtualClock,
    readonly relativeSpeed: number,
    private readonly random: SeededRandom,
  ) {
    const slowdown = (): number => (this.disturbance * this.noise(clock.now())) / relativeSpeed;
    this.engine = new BatchingEngine(clock, {
      slots: SLOTS,
      cacheTokens: CACHE_TOKENS,
      stepMs: STEP_MS,
      readTokensPerMs: PREFILL_TOKENS_PER_MS,
      chunkTokens: CHUNK_TOKENS,
      tokensPerEvent: TOKENS_PER_EVENT,
      get slowdownFactor() {
        return slowdown();
      },
    });
  }

  /** Each period of 600 ms is noisy with the given probability. */
  private isNoisy = false;
  private noise(nowMs: number): number {
    while (nowMs >= this.noiseUntilMs) {
      this.noiseUntilMs += NOISE_MS * (this.noiseUntilMs === 0 ? 1 + this.random.next() : 1);
      this.isNoisy = this.random.next() < NOISE_SHARE;
    }
    return this.isNoisy ? NOISE_FACTOR : 1;
  }
}

/** Options of a simulated group. */
export interface SpeedLearningOptions {
  readonly routers: number;
  readonly engines: number;
  readonly seed: number;
  /** Share of datagrams lost. */
  readonly lossShare?: number;
  /** Whether all routers report to each other, as in a small group. */
  readonly isSmall?: boolean;
}

/** A large group of routers with a collector, and its engines. */
export class SpeedLearning {
  readonly clock = new VirtualClock();
  readonly registry = new EngineRegistry();
  readonly engines: NoisyEngine[] = [];
  readonly routers: ReturnType<typeof speedExchange>[] = [];
  /** All pauses that routers observed, by engine. */
  readonly pauses: { atMs: number; pauseMs: number; weight: number }[][] = [];
  /** Prompt tokens that routers count as unread, by engine. */
  private readonly unread: number[] = [];
  collector = 0;
  sentEntries = 0;
  summaryEntries = 0;
  private readonly random: SeededRandom;

  constructor(private readonly options: SpeedLearningOptions) {
    this.random = new SeededRandom(options.seed);
    for (let index = 0; index < options.engines; index += 1) {
      this.registry.put(engineRecord(`engine-${index}`, 1));
      const speed = RELATIVE_SPEEDS[index % RELATIVE_SPEEDS.length] as number;
      const random = new SeededRandom(options.seed * 1_000 + index);
      this.engines.push(new NoisyEngine(this.clock, speed, random));
      this.pauses.push([]);
    }
    for (let index = 0; index < options.routers; index += 1) {
      this.routers.push(speedExchange(`router-${index}`, this.registry, this.clock));
      this.clock.setTimer((index * ROUND_MS) / options.routers, () => this.round(index));
    }
    const share = options.engines / REFERENCE_ENGINES;
    this.scheduleResponse(SHORT_PER_SECOND * share, () => this.respond(198, 628, 58, 0));
    this.scheduleResponse(LONG_PER_SECOND * share, () => this.respond(6_300, 2_890, 10, 1));
  }

  idOf(engine: number): string {
    return `engine-${engine}@1`;
  }

  /** Pause between events of an undisturbed engine, in milliseconds. */
  trueEventMs(engine: number): number {
    const { relativeSpeed, disturbance } = this.engines[engine] as NoisyEngine;
    return (STEP_MS * TOKENS_PER_EVENT * disturbance) / relativeSpeed;
  }

  /** Believed pause of an engine divided by the true one, at a router. */
  errorAt(router: number, engine: number): number {
    const belief = this.routers[router]?.part.table.beliefOf(this.idOf(engine));
    return (belief?.eventMs ?? NaN) / this.trueEventMs(engine);
  }

  /** Replaces a router by one that knows nothing. */
  restart(router: number): void {
    this.routers[router] = speedExchange(`router-${router}`, this.registry, this.clock);
  }

  private round(index: number): void {
    this.clock.setTimer(ROUND_MS, () => this.round(index));
    const router = this.routers[index] as ReturnType<typeof speedExchange>;
    const entries = router.part.takeOwn(MAXIMUM_ENTRIES, this.clock.now());
    this.sentEntries += entries.length;
    if (this.options.isSmall) this.deliverToOthers(index, entries, false);
    else if (index !== this.collector) this.deliver(this.collector, router.nodeId, entries, false);
    else {
      router.part.collect(router.nodeId, entries, this.clock.now());
      const summary = router.part.takeSummary(MAXIMUM_ENTRIES, this.clock.now());
      this.summaryEntries += summary.length;
      this.deliverToOthers(index, summary, true);
    }
  }

  private deliverToOthers(
    from: number,
    entries: readonly EngineSpeedEntry[],
    isSummary: boolean,
  ): void {
    for (const other of this.routers.keys()) {
      if (other !== from) this.deliver(other, `router-${from}`, entries, isSummary);
    }
  }

  private deliver(
    to: number,
    sender: string,
    entries: readonly EngineSpeedEntry[],
    isSummary: boolean,
  ): void {
    if (entries.length === 0 || this.random.next() < (this.options.lossShare ?? 0)) return;
    this.clock.setTimer(NETWORK_MS, () => {
      const { part } = this.routers[to] as ReturnType<typeof speedExchange>;
      part.receive(sender, entries, isSummary, this.clock.now());
      if (!isSummary) part.collect(sender, entries, this.clock.now());
    });
  }

  private scheduleResponse(perSecond: number, send: () => void): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / perSecond;
    this.clock.setTimer(gapMs, () => {
      send();
      this.scheduleResponse(perSecond, send);
    });
  }

  /** Sends a generation to an engine in proportion to the speeds that its router believes. */
  private respond(shared: number, own: number, output: number, urgency: number): void {
    const router = Math.floor(this.random.next() * this.routers.length);
    const { part } = this.routers[router] as ReturnType<typeof speedExchange>;
    const weights = this.engines.map(
      (_, index) => part.table.at(this.idOf(index)).prefillTokensPerMs,
    );
    let rest = this.random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    const engine = Math.max(
      0,
      weights.findIndex((weight) => (rest -= weight) < 0),
    );
    const record = this.registry.find(this.idOf(engine))?.record;
    if (!record) return;
    const topic = `${urgency}-${Math.floor(this.random.next() * TOPICS_PER_ENGINE)}`;
    const ownTokens = Math.ceil(own * (0.5 + this.random.next()));
    const { engine: batching } = this.engines[engine] as NoisyEngine;
    const cachedTokens = Math.min(shared, batching.cachedTokens(topic));
    const pauses = new StreamPauses();
    const sentMs = this.clock.now();
    let events = 0;
    const assumed = shared + ownTokens - (this.random.next() < 0.7 ? cachedTokens : 0);
    this.unread[engine] = (this.unread[engine] ?? 0) + assumed;
    let before = 0;
    batching.send({
      sharedParts: [{ id: topic, tokens: shared }],
      promptTokens: shared + ownTokens,
      outputTokens: Math.ceil(output * (0.6 + 0.8 * this.random.next())),
      fetchableTokens: 0,
      urgency,
      onEvent: () => {
        const now = this.clock.now();
        events += 1;
        if (events === 1) {
          this.unread[engine] = (this.unread[engine] ?? 0) - assumed;
          part.noteFirstByte(record, {
            waitedMs: now - sentMs,
            // Routers assume three times in ten that a cached prefix is not.
            unreadTokens: assumed,
            ownTokens,
            queuedTokens: 0,
            isPartial: false,
          });
        }
        const pauseMs = pauses.noteEvent(now);
        const queued = Math.max(before, this.unread[engine] ?? 0);
        before = this.unread[engine] ?? 0;
        if (pauseMs === undefined) return;
        part.notePause(record, pauseMs, queued);
        this.pauses[engine]?.push({ atMs: now, pauseMs, weight: 1 });
      },
      onEnd: () => part.noteLength(record, output, events),
      onRefused: () => {
        this.unread[engine] = (this.unread[engine] ?? 0) - assumed;
      },
    });
  }
}
