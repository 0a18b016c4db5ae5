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
import {
  type GenerationShape,
  type PromptPart,
  affinityKeyOf,
} from '../../src/state/routing/generation.js';
import type { GroupPrefixes } from '../../src/state/routing/group-prefixes.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import {
  type Placement,
  type PlacementTables,
  placeRequest,
} from '../../src/state/routing/placement.js';
import { StorePressure } from '../../src/state/routing/save-choice.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { SendLoad } from '../../src/coordination/gateway/send-load.js';
import { BatchingEngine } from './prefix-batching-engine.js';
import { PrefixReadNetwork } from './prefix-read-network.js';
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
  /** Parts below the affinity keys, each shared by many of them. */
  readonly base?: { readonly count: number; readonly tokens: number };
  /** An affinity key that takes a share of the requests for some time. */
  readonly hot?: { readonly share: number; readonly fromMs: number; readonly untilMs: number };
}

/** Changes of the engines for a scenario. */
export interface EngineChanges {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly stepMs: number;
  readonly readTokensPerMs: number;
  readonly chunkTokens: number;
  readonly tokensPerEvent: number;
  readonly slowdownFactors: readonly number[];
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
  readonly engineChanges?: EngineChanges;
  /** Whether engines fetch the prefixes that placement tells them to. */
  readonly hasFetches?: boolean;
  /** Link rate of the engines. */
  readonly linkMbps?: number;
  /** Time from which tokens are counted; 0 if undefined. */
  readonly countFromMs?: number;
  /** Exchange of prefix reads through one collector; undefined for none. */
  readonly prefixReads?: { readonly lostShare: number };
}

/** Outcome counts of one kind of generation. */
export interface KindOutcomes {
  sent: number;
  onTime: number;
  lateFirstTokens: number;
  latePauses: number;
  rejected: number;
  /** Prompt tokens that placement expected to be prefilled, and that were. */
  believedUnreadTokens: number;
  unreadTokens: number;
  admitted: number;
}

/** A simulated router. */
export interface SimulatedRouter {
  readonly zone: string;
  readonly tables: PlacementTables;
  readonly prefixes: GroupPrefixes | undefined;
  sequence: number;
}

const MODEL = 'model-a';
const SERVICE = 'generation';
const NETWORK_DELAY_MS = 2;
const DEFAULT_ENGINES: EngineChanges = {
  slots: 16,
  cacheTokens: 86_721,
  stepMs: 5.23,
  readTokensPerMs: 38.4,
  chunkTokens: 4_096,
  tokensPerEvent: 6,
  slowdownFactors: [1, 1, 1.3],
};

/** The simulated deployment. */
export class PlacementHarness {
  readonly clock = new VirtualClock();
  readonly outcomes = new Map<string, KindOutcomes>();
  readonly engines: BatchingEngine[] = [];
  readonly registry = new EngineRegistry();
  readonly routers: SimulatedRouter[] = [];
  readonly reads: PrefixReadNetwork | undefined;
  private readonly partTokens = new Map<string, number>();
  private uncountedAgainTokens = 0;
  private readonly engineSettings: EngineChanges;
  private readonly random: SeededRandom;
  private requests = 0;

  private constructor(
    private readonly scenario: PlacementScenario,
    homes: HomeRanking,
  ) {
    this.random = new SeededRandom(scenario.seed);
    this.engineSettings = scenario.engineChanges ?? DEFAULT_ENGINES;
    this.reads = scenario.prefixReads && this.createReads(scenario.prefixReads.lostShare);
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
    this.reads?.schedule(untilMs);
    const { countFromMs = 0 } = this.scenario;
    if (countFromMs > 0) this.clock.setTimer(countFromMs, () => this.startCounting());
    const DRAIN_MS = 20_000;
    await this.clock.advance(forMs + DRAIN_MS);
  }

  /** Prompt tokens prefilled by all engines. */
  get readTokens(): number {
    return this.engines.reduce((sum, { readTokens }) => sum + readTokens, 0);
  }

  /**
   * Tokens of shared parts that were prefilled although an engine had prefilled them before, in the
   * counted time.
   */
  get sharedReadAgainTokens(): number {
    return this.sharedReadTokens - this.uncountedAgainTokens - this.distinctTokens;
  }

  private get sharedReadTokens(): number {
    return this.engines.reduce((sum, { sharedReadTokens }) => sum + sharedReadTokens, 0);
  }

  private get distinctTokens(): number {
    return [...this.partTokens.values()].reduce((sum, tokens) => sum + tokens, 0);
  }

  private startCounting(): void {
    this.uncountedAgainTokens = this.sharedReadTokens - this.distinctTokens;
    for (const { name } of this.scenario.kinds) this.outcomes.set(name, noOutcomes());
    if (this.reads) this.reads.summaryReads = 0;
  }

  private createReads(lostShare: number): PrefixReadNetwork {
    const { kinds, engines } = this.scenario;
    const ownRate = kinds.reduce((sum, { perSecond, ownTokens }) => sum + perSecond * ownTokens, 0);
    const memory = {
      capacityTokens: this.engineSettings.cacheTokens,
      unsharedTokensPerSecond: ownRate / engines,
    };
    return new PrefixReadNetwork(this.clock, this.random, this.registry, memory, lostShare);
  }

  private addEngine(index: number): void {
    const { zones } = this.scenario;
    const { slots, slowdownFactors, ...profile } = this.engineSettings;
    const slowdownFactor = slowdownFactors[index % slowdownFactors.length] as number;
    const zone = `zone-${Math.floor(index / slowdownFactors.length) % zones}`;
    const changes = { service: SERVICE, zone, slots };
    const id = `engine-${index}`;
    this.registry.put(engineRecord(id, undefined, changes));
    this.engines.push(new BatchingEngine(this.clock, { ...profile, slots, slowdownFactor }));
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
    const zone = `zone-${index % this.scenario.zones}`;
    const prefixes = this.reads?.addRouter(tables.cachedPrefixes);
    this.routers.push({ zone, tables, prefixes, sequence: 0 });
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
    const { slots, cacheTokens } = this.engineSettings;
    const placement = placeRequest(
      {
        candidates: this.registry.ofService(SERVICE),
        profile: {
          slots,
          cacheCapacityTokens: cacheTokens,
          cacheTokenBytes: 163_840,
          linkMbps: this.scenario.linkMbps ?? 1_100_000,
          maximumEventCalls: 8,
        },
        generation,
        isolatedTenant: undefined,
        excluded: new Set(),
        zone: router.zone,
        stores: [],
        storePressure: StorePressure.High,
        connectionShare: slots,
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
    const load = new SendLoad(router.tables.loads, id, placement.unreadTokens, placement.memory);
    const engine = this.engines[Number(id.slice('engine-'.length))] as BatchingEngine;
    const sentMs = this.clock.now();
    let lastMs: number | undefined;
    let isLateFirst = false;
    let isLatePause = false;
    const { parts, promptTokens } = generation;
    const sharedParts = parts.slice(0, -1);
    for (const part of sharedParts) this.partTokens.set(part.id, part.tokens);
    const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
    this.clock.setTimer(NETWORK_DELAY_MS, () =>
      engine.send({
        affinityKey: affinityKeyOf(generation),
        sharedTokens,
        promptTokens,
        outputTokens: generation.maximumOutputTokens,
        fetchableTokens: this.fetchableTokens(placement, sharedParts),
        urgency: kind.priority,
        ...(kind.base && { parts }),
        onAdmitted: (unreadTokens) => {
          outcomes.admitted += 1;
          outcomes.believedUnreadTokens += placement.unreadTokens;
          outcomes.unreadTokens += unreadTokens;
        },
        onEvent: () => {
          const now = this.clock.now();
          if (lastMs === undefined) {
            isLateFirst = now - sentMs > kind.firstTokenObjectiveMs;
            load.notePromptRead();
            const salt = placement.cacheSalt ?? '';
            router.tables.cachedPrefixes.recordPrompt(id, salt, parts);
            router.prefixes?.recordRead(id, salt, sharedParts, now);
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

  /** Tokens that the engine named by a placement has cached of the shared parts. */
  private fetchableTokens(placement: Placement, sharedParts: readonly PromptPart[]): number {
    if (!this.scenario.hasFetches || placement.fetchFrom === undefined) return 0;
    const candidates = this.registry.ofService(SERVICE);
    const index = candidates.findIndex(({ record }) => record.address === placement.fetchFrom);
    return this.engines[index]?.leadingTokens(sharedParts) ?? 0;
  }

  private nextAffinityKey({ affinityKeyCount, hot }: GenerationKind): number {
    const now = this.clock.now();
    const isHot = hot && now >= hot.fromMs && now < hot.untilMs && this.random.next() < hot.share;
    return isHot ? 0 : Math.floor(this.random.next() ** 1.3 * affinityKeyCount);
  }

  private nextGeneration(kind: GenerationKind): GenerationShape {
    this.requests += 1;
    const affinityKey = this.nextAffinityKey(kind);
    const { base } = kind;
    const ownTokens = this.logNormal(kind.ownTokens, 1);
    const outputTokens = this.logNormal(kind.outputTokens, 0.7);
    const parts = [
      ...(base ? [{ id: `base-${affinityKey % base.count}`, tokens: base.tokens }] : []),
      { id: `${kind.name}-${affinityKey}`, tokens: kind.sharedTokens },
      { id: `own-${this.requests}`, tokens: ownTokens },
    ];
    const promptTokens = kind.sharedTokens + ownTokens + (base?.tokens ?? 0);
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
  return {
    sent: 0,
    onTime: 0,
    lateFirstTokens: 0,
    latePauses: 0,
    rejected: 0,
    believedUnreadTokens: 0,
    unreadTokens: 0,
    admitted: 0,
  };
}
