/** Synthetic engines for scale runs, which only publish cache events and a status. */
import { sleep } from '../../runtime/clock.js';
import type {
  EngineCacheEvent,
  EngineEventBatch,
  EnginePort,
  EngineSnapshot,
  EngineStream,
  EngineStatus,
} from '../../protocol/engine/port.js';
import type { HostClock } from '../simulation/host-clock.js';
import { hostNameOf } from '../simulation/simulated-transports.js';

const MS_PER_SECOND = 1_000;
/** Blocks of one prompt, which are stored and evicted together. */
const PROMPT_BLOCKS = 128;
const HASH_MULTIPLIER = 0x9e3779b97f4a7c15n;
const HASH_MASK = 0xffff_ffff_ffff_ffffn;
/** Keeps the block hashes of different engines apart. */
const ENGINE_HASH_STRIDE = 1_000_000_000;

/** One synthetic engine. Each event is computed from its sequence number. */
class SyntheticEngine {
  private readonly hashOffset: bigint;

  constructor(
    readonly engineId: string,
    index: number,
    private readonly cachedPrompts: number,
  ) {
    this.hashOffset = BigInt(index * ENGINE_HASH_STRIDE);
  }

  /**
   * Returns the event of a sequence number, starting at 1. Prompts are stored one after another.
   * Once the cache is full, the oldest prompt is evicted before each new one.
   */
  eventAt(sequence: number): EngineCacheEvent {
    const index = sequence - 1;
    const warmUpEvents = this.cachedPrompts * PROMPT_BLOCKS;
    if (index < warmUpEvents) return this.storedEvent(index);
    const cycle = Math.floor((index - warmUpEvents) / (2 * PROMPT_BLOCKS));
    const inCycle = (index - warmUpEvents) % (2 * PROMPT_BLOCKS);
    if (inCycle < PROMPT_BLOCKS) {
      const last = (cycle + 1) * PROMPT_BLOCKS - 1;
      return { kind: 'removed', block: this.hash(last - inCycle), parent: undefined };
    }
    return this.storedEvent(warmUpEvents + cycle * PROMPT_BLOCKS + inCycle - PROMPT_BLOCKS);
  }

  private storedEvent(position: number): EngineCacheEvent {
    const isFirst = position % PROMPT_BLOCKS === 0;
    const parent = isFirst ? undefined : this.hash(position - 1);
    return { kind: 'stored', block: this.hash(position), parent };
  }

  private hash(position: number): bigint {
    return ((this.hashOffset + BigInt(position + 1)) * HASH_MULTIPLIER) & HASH_MASK;
  }
}

/** Connects one simulated host to the synthetic engines. */
export class SyntheticEnginePort implements EnginePort {
  constructor(
    private readonly host: HostClock,
    private readonly engines: SyntheticEngines,
  ) {}

  async events(address: string, fromSequence: number, waitMs: number): Promise<EngineEventBatch> {
    await sleep(this.host, waitMs);
    return this.engines.batch(hostNameOf(address), fromSequence, this.host.now());
  }

  snapshot(): Promise<EngineSnapshot> {
    return Promise.reject(
      new Error('synthetic engines provide no snapshots: their event feed has no gaps'),
    );
  }

  generate(): EngineStream {
    throw new Error('synthetic engines do not support generation');
  }

  resume(): EngineStream {
    throw new Error('synthetic engines do not support resuming streams');
  }
}

/** The synthetic engines of a run, by identifier. */
export class SyntheticEngines {
  private readonly engines = new Map<string, SyntheticEngine>();

  constructor(
    private readonly eventsPerSecond: number,
    private readonly cachedBlocks: number,
  ) {}

  add(engineId: string): void {
    const prompts = Math.ceil(this.cachedBlocks / PROMPT_BLOCKS);
    this.engines.set(engineId, new SyntheticEngine(engineId, this.engines.size, prompts));
  }

  /** Returns the events from a sequence number on that are due by now. */
  batch(engineId: string, fromSequence: number, nowMs: number): EngineEventBatch {
    const engine = this.engines.get(engineId);
    if (!engine) throw new Error(`unknown synthetic engine ${engineId}`);
    const MAXIMUM_BATCH_EVENTS = 2_000;
    const last = Math.floor((nowMs / MS_PER_SECOND) * this.eventsPerSecond);
    const events: EngineCacheEvent[] = [];
    for (let next = fromSequence; next <= last && events.length < MAXIMUM_BATCH_EVENTS; next += 1) {
      events.push(engine.eventAt(next));
    }
    return {
      incarnation: 1,
      firstSequence: fromSequence,
      events,
      status: statusOf(engineId, nowMs),
    };
  }
}

/** Returns a status whose load varies over time, so that load reports change. */
function statusOf(engineId: string, nowMs: number): EngineStatus {
  const phase = Math.sin(nowMs / MS_PER_SECOND + engineId.length);
  const HALF_LOAD_TOKENS = 3_000;
  const HALF_MAXIMUM_REQUESTS = 16;
  return {
    engineId,
    incarnation: 1,
    model: 'model',
    weightsDigest: 'weights',
    adapterDigest: '',
    leaving: false,
    load: {
      waitingTokens: Math.round(HALF_LOAD_TOKENS * (1 + phase)),
      requests: Math.round(HALF_MAXIMUM_REQUESTS * (1 + phase)),
      maximumRequests: 2 * HALF_MAXIMUM_REQUESTS,
      prefillTokensPerSecond: 20_000,
    },
  };
}
