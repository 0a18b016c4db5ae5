/** Engines that only speak of themselves: cache events at a given rate, and a status. */
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
/** Blocks of one prompt, stored together and evicted together. */
const CHAIN_BLOCKS = 128;
const HASH_MULTIPLIER = 0x9e3779b97f4a7c15n;
const HASH_MASK = 0xffff_ffff_ffff_ffffn;
const ENGINE_STRIDE = 1_000_000_000;

/** One hollow engine: an endless sequence of events, each a function of its number. */
class HollowEngine {
  private readonly base: bigint;

  constructor(
    readonly engineId: string,
    index: number,
    private readonly keptChains: number,
  ) {
    this.base = BigInt(index * ENGINE_STRIDE);
  }

  /** Event number `sequence`, from 1: chains are stored in turn, the oldest evicted after each. */
  event(sequence: number): EngineCacheEvent {
    const index = sequence - 1;
    const warmUp = this.keptChains * CHAIN_BLOCKS;
    if (index < warmUp) return this.stored(index);
    const cycle = Math.floor((index - warmUp) / (2 * CHAIN_BLOCKS));
    const inCycle = (index - warmUp) % (2 * CHAIN_BLOCKS);
    if (inCycle < CHAIN_BLOCKS) {
      const last = (cycle + 1) * CHAIN_BLOCKS - 1;
      return { kind: 'removed', block: this.hash(last - inCycle), parent: undefined };
    }
    return this.stored(warmUp + cycle * CHAIN_BLOCKS + inCycle - CHAIN_BLOCKS);
  }

  private stored(position: number): EngineCacheEvent {
    const isFirst = position % CHAIN_BLOCKS === 0;
    const parent = isFirst ? undefined : this.hash(position - 1);
    return { kind: 'stored', block: this.hash(position), parent };
  }

  private hash(position: number): bigint {
    return ((this.base + BigInt(position + 1)) * HASH_MULTIPLIER) & HASH_MASK;
  }
}

/** All hollow engines of a run, as one simulated host reaches them. */
export class HollowEnginePort implements EnginePort {
  constructor(
    private readonly host: HostClock,
    private readonly engines: HollowEngines,
  ) {}

  async events(address: string, fromSequence: number, waitMs: number): Promise<EngineEventBatch> {
    await sleep(this.host, waitMs);
    return this.engines.batch(hostNameOf(address), fromSequence, this.host.now());
  }

  snapshot(): Promise<EngineSnapshot> {
    return Promise.reject(new Error('a hollow feed has no gaps'));
  }

  generate(): EngineStream {
    throw new Error('hollow engines take no generation');
  }

  resume(): EngineStream {
    throw new Error('hollow engines have no streams');
  }
}

/** The hollow engines by identifier. */
export class HollowEngines {
  private readonly engines = new Map<string, HollowEngine>();

  constructor(
    private readonly eventsPerSecond: number,
    private readonly keptBlocks: number,
  ) {}

  add(engineId: string): void {
    const chains = Math.ceil(this.keptBlocks / CHAIN_BLOCKS);
    this.engines.set(engineId, new HollowEngine(engineId, this.engines.size, chains));
  }

  /** Events that came to be by now, from a number on. */
  batch(engineId: string, fromSequence: number, nowMs: number): EngineEventBatch {
    const engine = this.engines.get(engineId);
    if (!engine) throw new Error(`no hollow engine ${engineId}`);
    const LIMIT = 2_000;
    const last = Math.floor((nowMs / MS_PER_SECOND) * this.eventsPerSecond);
    const events: EngineCacheEvent[] = [];
    for (let next = fromSequence; next <= last && events.length < LIMIT; next += 1) {
      events.push(engine.event(next));
    }
    return {
      incarnation: 1,
      firstSequence: fromSequence,
      events,
      status: statusOf(engineId, nowMs),
    };
  }
}

/** A load that wanders, so that load reports have something to tell. */
function statusOf(engineId: string, nowMs: number): EngineStatus {
  const phase = Math.sin(nowMs / MS_PER_SECOND + engineId.length);
  const HALF_LOAD_TOKENS = 3_000;
  const HALF_BATCH = 16;
  return {
    engineId,
    incarnation: 1,
    model: 'model',
    weightsDigest: 'weights',
    adapterDigest: '',
    leaving: false,
    load: {
      waitingTokens: Math.round(HALF_LOAD_TOKENS * (1 + phase)),
      requests: Math.round(HALF_BATCH * (1 + phase)),
      maximumRequests: 2 * HALF_BATCH,
      prefillTokensPerSecond: 20_000,
    },
  };
}
