/**
 * Simulates routers that place generations on batching engines, with the real placement, load
 * tables and load reports, and counts the outcomes for callers.
 */
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { DEFAULT_ENGINE_SPEEDS } from '../../src/state/routing/engine-speeds.js';
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
import { SendLoad } from '../../src/coordination/gateway/send-load.js';
import { BatchingEngine } from './batching-engine.js';
import { engineRecord } from './engine-record.js';

/** A kind of generation requested by callers. */
export interface GenerationKind {
  readonly name: string;
  readonly perSecond: number;
  readonly affinityKeyCount: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly firstTokenObjectiveMs: number;
  readonly maximumPauseMs: number;
  readonly priority: number;
}

/** Simulated deployment and its traffic. */
export interface PlacementScenario {
  readonly routers: number;
  readonly engines: number;
  readonly zones: number;
  readonly kinds: readonly GenerationKind[];
  /** Period of a router's load reports, in milliseconds. */
  readonly reportPeriodMs: number;
  /** Number of random routers that receive each report; undefined for all. */
  readonly reportFanout?: number;
  readonly seed: number;
}

/** Outcome counts of one kind of generation. */
export interface KindOutcomes {
  sent: number;
  onTime: number;
  lateFirstTokens: number;
  latePauses: number;
  rejected: number;
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
const NETWORK_DELAY_MS = 2;
const SLOWDOWN_FACTORS = [1, 1, 1.3];

/** The simulated deployment. */
export class PlacementHarness {
  readonly clock = new VirtualClock();
  readonly outcomes = new Map<string, KindOutcomes>();
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
    for (const { name } of scenario.kinds) this.outcomes.set(name, noOutcomes());
    for (let index = 0; index < scenario.engines; index += 1) this.addEngine(index);
    for (let index = 0; index < scenario.routers; index += 1) this.addRouter(index, homes);
  }

  static async create(scenario: PlacementScenario): Promise<PlacementHarness> {
    return new PlacementHarness(scenario, new HomeRanking(await createHasher()));
  }

  /** Sends requests for the given time, then waits for their streams to end. */
  async run(forMs: number): Promise<void> {
    const untilMs = this.clock.now() + forMs;
    for (const kind of this.scenario.kinds) this.scheduleNext(kind, untilMs);
    for (const router of this.routers) this.scheduleReport(router, untilMs);
    const DRAIN_MS = 20_000;
    await this.clock.advance(forMs + DRAIN_MS);
  }

  /** Prompt tokens prefilled by all engines. */
  get readTokens(): number {
    return this.engines.reduce((sum, { readTokens }) => sum + readTokens, 0);
  }

  private addEngine(index: number): void {
    const { zones } = this.scenario;
    const slowness = SLOWDOWN_FACTORS[index % SLOWDOWN_FACTORS.length] as number;
    const zone = `zone-${Math.floor(index / SLOWDOWN_FACTORS.length) % zones}`;
    const changes = { service: SERVICE, zone, slots: SLOTS };
    this.registry.put(engineRecord(`engine-${index}`, undefined, changes));
    this.engines.push(
      new BatchingEngine(this.clock, {
        slots: SLOTS,
        cacheTokens: CACHE_TOKENS,
        stepMs: 5.23,
        readTokensPerMs: 38.4,
        chunkTokens: 4_096,
        tokensPerEvent: 6,
        slowdownFactor: slowness,
      }),
    );
  }

  private addRouter(index: number, homes: HomeRanking): void {
    const tables = {
      loads: new LoadTable(),
      health: new EngineHealth(),
      cachedPrefixes: new CachedPrefixes(),
      versions: new WeightVersions(7_000, new StoreOutages()),
      random: new SeededRandom(this.scenario.seed * 1_000 + index),
      homes,
      speeds: DEFAULT_ENGINE_SPEEDS,
    };
    this.routers.push({ zone: `zone-${index % this.scenario.zones}`, tables, sequence: 0 });
  }

  private scheduleNext(kind: GenerationKind, untilMs: number): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / kind.perSecond;
    if (this.clock.now() + gapMs > untilMs) return;
    this.clock.setTimer(gapMs, () => {
      this.sendGeneration(kind);
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

  /** Sends a router's load to the others, or to a few of them. */
  private report(router: SimulatedRouter): void {
    router.sequence += 1;
    const { sequence } = router;
    const name = `router-${this.routers.indexOf(router)}`;
    const loads = new Map(router.tables.loads.ownLoads);
    for (const other of this.reportRecipients()) {
      if (other === router) continue;
      this.clock.setTimer(NETWORK_DELAY_MS, () =>
        other.tables.loads.receive(name, sequence, loads, this.clock.now()),
      );
    }
  }

  private reportRecipients(): readonly SimulatedRouter[] {
    const { reportFanout } = this.scenario;
    if (reportFanout === undefined) return this.routers;
    return Array.from(
      { length: reportFanout },
      () => this.routers[Math.floor(this.random.next() * this.routers.length)] as SimulatedRouter,
    );
  }

  private sendGeneration(kind: GenerationKind): void {
    const outcomes = this.outcomes.get(kind.name) as KindOutcomes;
    outcomes.sent += 1;
    const generation = this.nextGeneration(kind);
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
        slotView: { wallMs: 0, interval: undefined },
      },
      router.tables,
      this.clock.now(),
    );
    if (typeof placement === 'string') {
      outcomes.rejected += 1;
      return;
    }
    const { id } = placement.engine.record;
    const load = new SendLoad(router.tables.loads, id, generation, placement.unreadTokens);
    const engine = this.engines[Number(id.slice('engine-'.length))] as BatchingEngine;
    const sentMs = this.clock.now();
    let lastMs: number | undefined;
    let isLateFirst = false;
    let isLatePause = false;
    const sharedTokens = generation.parts[0]?.tokens ?? 0;
    this.clock.setTimer(NETWORK_DELAY_MS, () =>
      engine.send({
        affinityKey: generation.parts[0]?.id ?? '',
        sharedTokens,
        promptTokens: generation.promptTokens,
        outputTokens: generation.maximumOutputTokens,
        fetchableTokens: 0,
        urgency: kind.priority,
        onEvent: () => {
          const now = this.clock.now();
          if (lastMs === undefined) {
            isLateFirst = now - sentMs > kind.firstTokenObjectiveMs;
            load.notePromptRead();
            const salt = placement.cacheSalt ?? '';
            router.tables.cachedPrefixes.recordPrompt(id, salt, generation.parts);
          } else if (now - lastMs > kind.maximumPauseMs) isLatePause = true;
          lastMs = now;
        },
        onEnd: () => {
          load.release();
          if (isLateFirst) outcomes.lateFirstTokens += 1;
          else if (isLatePause) outcomes.latePauses += 1;
          else outcomes.onTime += 1;
        },
        onRefused: () => {
          load.release();
          outcomes.rejected += 1;
        },
      }),
    );
  }

  private nextGeneration(kind: GenerationKind): GenerationShape {
    this.requests += 1;
    const affinityKey = Math.floor(this.random.next() ** 1.3 * kind.affinityKeyCount);
    const ownTokens = this.logNormal(kind.ownTokens, 1);
    const outputTokens = this.logNormal(kind.outputTokens, 0.7);
    const parts = [
      { id: `${kind.name}-${affinityKey}`, tokens: kind.sharedTokens },
      { id: `own-${this.requests}`, tokens: ownTokens },
    ];
    const promptTokens = kind.sharedTokens + ownTokens;
    return { model: MODEL, parts, promptTokens, maximumOutputTokens: outputTokens };
  }

  /** Draws from a log-normal distribution with the given mean. */
  private logNormal(mean: number, sigma: number): number {
    const angle = 2 * Math.PI * this.random.next();
    const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(angle);
    return Math.max(1, Math.round(mean * Math.exp(sigma * normal - (sigma * sigma) / 2)));
  }
}

function noOutcomes(): KindOutcomes {
  return { sent: 0, onTime: 0, lateFirstTokens: 0, latePauses: 0, rejected: 0 };
}
