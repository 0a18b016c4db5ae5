/**
 * Routers that place generations at batching engines: the real placement and load tables, what they tell
 * each other of their work, and what the callers see of their streams.
 */
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import type { GenerationShape } from '../../src/state/routing/generation.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { type PlacementTables, placeRequest } from '../../src/state/routing/placement.js';
import { StorePressure } from '../../src/state/routing/save-choice.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { LoadShare } from '../../src/coordination/gateway/load-share.js';
import { BatchingEngine } from './batching-engine.js';
import { engineRecord } from './engine-record.js';

/** A kind of generation that callers ask for. */
export interface GenerationKind {
  readonly name: string;
  readonly perSecond: number;
  readonly subjects: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly objectiveMs: number;
  readonly longestPauseMs: number;
  readonly priority: number;
}

/** The deployment and its load. */
export interface PlacementScenario {
  readonly routers: number;
  readonly engines: number;
  readonly zones: number;
  readonly kinds: readonly GenerationKind[];
  /** How often a router reports its work, in milliseconds. */
  readonly reportPeriodMs: number;
  /** Routers chosen at random that get each report; undefined: all. */
  readonly reportFanout?: number;
  readonly seed: number;
}

/** What callers of one kind saw. */
export interface KindFigures {
  asked: number;
  inTime: number;
  lateFirst: number;
  latePause: number;
  refused: number;
}

interface SimulatedRouter {
  readonly zone: string;
  readonly tables: PlacementTables;
  sequence: number;
}

const MODEL = 'model-a';
const SERVICE = 'generation';
const SLOTS = 16;
const CACHE_TOKENS = 86_721;
const WAY_MS = 2;
const SLOWNESS = [1, 1, 1.3];

/** The deployment. */
export class PlacementHarness {
  readonly clock = new VirtualClock();
  readonly figures = new Map<string, KindFigures>();
  readonly engines: BatchingEngine[] = [];
  private readonly registry = new EngineRegistry();
  private readonly routers: SimulatedRouter[] = [];
  private readonly random: SeededRandom;
  private requests = 0;

  private constructor(
    private readonly scenario: PlacementScenario,
    homes: HomeRanking,
  ) {
    this.random = new SeededRandom(scenario.seed);
    for (const { name } of scenario.kinds) this.figures.set(name, noFigures());
    for (let index = 0; index < scenario.engines; index += 1) this.addEngine(index);
    for (let index = 0; index < scenario.routers; index += 1) this.addRouter(index, homes);
  }

  static async create(scenario: PlacementScenario): Promise<PlacementHarness> {
    return new PlacementHarness(scenario, new HomeRanking(await createHasher()));
  }

  /** Lets callers send for a while, and waits until their streams have ended. */
  async play(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    for (const kind of this.scenario.kinds) this.scheduleNext(kind, untilMs);
    for (const router of this.routers) this.scheduleReport(router, untilMs);
    const ENDING_MS = 20_000;
    await this.clock.advance(forMs + ENDING_MS);
  }

  /** Prompt tokens that the engines read. */
  get readTokens(): number {
    return this.engines.reduce((sum, { readTokens }) => sum + readTokens, 0);
  }

  private addEngine(index: number): void {
    const { zones } = this.scenario;
    const slowness = SLOWNESS[index % SLOWNESS.length] as number;
    const zone = `zone-${Math.floor(index / SLOWNESS.length) % zones}`;
    const changes = { service: SERVICE, zone, slots: SLOTS };
    this.registry.put(engineRecord(`engine-${index}`, undefined, changes));
    this.engines.push(
      new BatchingEngine(this.clock, {
        slots: SLOTS,
        cacheTokens: CACHE_TOKENS,
        stepMs: 5.23,
        readTokensPerMs: 38.4,
        pieceTokens: 4_096,
        tokensPerEvent: 6,
        slowness,
      }),
    );
  }

  private addRouter(index: number, homes: HomeRanking): void {
    const tables = {
      loads: new LoadTable(),
      health: new EngineHealth(),
      kept: new CachedPrefixes(),
      versions: new WeightVersions(7_000, new StoreOutages()),
      random: new SeededRandom(this.scenario.seed * 1_000 + index),
      homes,
    };
    this.routers.push({ zone: `zone-${index % this.scenario.zones}`, tables, sequence: 0 });
  }

  private scheduleNext(kind: GenerationKind, untilMs: number): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / kind.perSecond;
    if (this.clock.now() + gapMs > untilMs) return;
    this.clock.setTimer(gapMs, () => {
      this.sendOne(kind);
      this.scheduleNext(kind, untilMs);
    });
  }

  private scheduleReport(router: SimulatedRouter, untilMs: number): void {
    if (this.clock.now() > untilMs) return;
    const periodMs = this.scenario.reportPeriodMs * (0.9 + 0.2 * this.random.next());
    this.clock.setTimer(periodMs, () => {
      this.report(router);
      this.scheduleReport(router, untilMs);
    });
  }

  /** What a router has under way reaches the others, or a few of them. */
  private report(router: SimulatedRouter): void {
    router.sequence += 1;
    const { sequence } = router;
    const name = `router-${this.routers.indexOf(router)}`;
    const loads = new Map(router.tables.loads.ownLoads);
    for (const other of this.audience()) {
      if (other === router) continue;
      this.clock.setTimer(WAY_MS, () =>
        other.tables.loads.receive(name, sequence, loads, this.clock.now()),
      );
    }
  }

  private audience(): readonly SimulatedRouter[] {
    const { reportFanout } = this.scenario;
    if (reportFanout === undefined) return this.routers;
    return Array.from(
      { length: reportFanout },
      () => this.routers[Math.floor(this.random.next() * this.routers.length)] as SimulatedRouter,
    );
  }

  private sendOne(kind: GenerationKind): void {
    const figures = this.figures.get(kind.name) as KindFigures;
    figures.asked += 1;
    const generation = this.draw(kind);
    const router = this.routers[Math.floor(this.random.next() * this.routers.length)];
    if (!router) return;
    const placement = placeRequest(
      {
        candidates: this.registry.ofService(SERVICE),
        profile: {
          slots: SLOTS,
          cacheCapacityTokens: CACHE_TOKENS,
          cacheTokenBytes: 163_840,
          linkMbps: 1_100_000,
          maximumEventCalls: 8,
        },
        generation,
        isolatedTenant: undefined,
        excluded: new Set(),
        zone: router.zone,
        stores: [],
        storePressure: StorePressure.High,
        connectionShare: SLOTS,
        turns: { wallMs: 0, interval: undefined },
      },
      router.tables,
      this.clock.now(),
    );
    if (typeof placement === 'string') {
      figures.refused += 1;
      return;
    }
    const { id } = placement.engine.record;
    const load = new LoadShare(router.tables.loads, id, generation, placement.unreadTokens);
    const engine = this.engines[Number(id.slice('engine-'.length))] as BatchingEngine;
    const sentMs = this.clock.now();
    let lastMs: number | undefined;
    let isLateFirst = false;
    let isLatePause = false;
    const sharedTokens = generation.parts[0]?.tokens ?? 0;
    this.clock.setTimer(WAY_MS, () =>
      engine.send({
        subject: generation.parts[0]?.id ?? '',
        sharedTokens,
        promptTokens: generation.promptTokens,
        outputTokens: generation.maximumOutputTokens,
        fetchableTokens: 0,
        urgency: kind.priority,
        onEvent: () => {
          const now = this.clock.now();
          if (lastMs === undefined) {
            isLateFirst = now - sentMs > kind.objectiveMs;
            load.notePromptRead();
            const salt = placement.cacheSalt ?? '';
            router.tables.kept.notePrompt(id, salt, generation.parts);
          } else if (now - lastMs > kind.longestPauseMs) isLatePause = true;
          lastMs = now;
        },
        onEnd: () => {
          load.release();
          if (isLateFirst) figures.lateFirst += 1;
          else if (isLatePause) figures.latePause += 1;
          else figures.inTime += 1;
        },
        onRefused: () => {
          load.release();
          figures.refused += 1;
        },
      }),
    );
  }

  private draw(kind: GenerationKind): GenerationShape {
    this.requests += 1;
    const subject = Math.floor(this.random.next() ** 1.3 * kind.subjects);
    const ownTokens = this.spread(kind.ownTokens, 1);
    const outputTokens = this.spread(kind.outputTokens, 0.7);
    const parts = [
      { id: `${kind.name}-${subject}`, tokens: kind.sharedTokens },
      { id: `own-${this.requests}`, tokens: ownTokens },
    ];
    const promptTokens = kind.sharedTokens + ownTokens;
    return { model: MODEL, parts, promptTokens, maximumOutputTokens: outputTokens };
  }

  /** A log-normal size with the given mean. */
  private spread(mean: number, sigma: number): number {
    const angle = 2 * Math.PI * this.random.next();
    const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(angle);
    return Math.max(1, Math.round(mean * Math.exp(sigma * normal - (sigma * sigma) / 2)));
  }
}

function noFigures(): KindFigures {
  return { asked: 0, inTime: 0, lateFirst: 0, latePause: 0, refused: 0 };
}
