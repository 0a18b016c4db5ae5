/**
 * Simulates routers that place generations on batching engines, with the real placement, load
 * tables and load reports, and counts the outcomes for callers.
 */
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import {
  DEFAULT_ENGINE_SPEED,
  DEFAULT_ENGINE_SPEEDS,
  type EngineSpeedView,
} from '../../src/state/routing/engine-speeds.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import type { GenerationShape, PromptPart } from '../../src/state/routing/generation.js';
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
import { BatchingEngine } from './batching-engine.js';
import { engineRecord } from './engine-record.js';
import {
  DEFAULT_FLEET,
  type EngineFleet,
  type GenerationKind,
  type KindOutcomes,
  type KindPrefills,
  type PlacementScenario,
  noOutcomes,
  noPrefills,
  noiseOf,
} from './placement-scenario.js';
import { PrefixReadNetwork } from './prefix-read-network.js';

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
const DEFAULT_LINK_MBPS = 1_100_000;
/** The simulated deployment. */
export class PlacementHarness {
  readonly clock = new VirtualClock();
  readonly outcomes = new Map<string, KindOutcomes>();
  readonly prefills = new Map<string, KindPrefills>();
  readonly engines: BatchingEngine[] = [];
  readonly registry = new EngineRegistry();
  readonly routers: SimulatedRouter[] = [];
  readonly reads: PrefixReadNetwork | undefined;
  /** Sizes of the shared parts of all requests. */
  private readonly partTokens = new Map<string, number>();
  private uncountedAgainTokens = 0;
  private readonly random: SeededRandom;
  private readonly fleet: EngineFleet;
  private requests = 0;

  private constructor(
    private readonly scenario: PlacementScenario,
    homes: HomeRanking,
  ) {
    this.random = new SeededRandom(scenario.seed);
    this.fleet = scenario.fleet ?? DEFAULT_FLEET;
    this.reads = scenario.prefixReads && this.createReads(scenario.prefixReads.lostShare);
    this.resetOutcomes();
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

  /** Busy time of the busiest engine relative to the mean. */
  get busiestShare(): number {
    const busyMs = this.engines.map((engine) => engine.busyMs);
    const meanMs = busyMs.reduce((sum, each) => sum + each, 0) / busyMs.length;
    return Math.max(...busyMs) / meanMs;
  }

  private get sharedReadTokens(): number {
    return this.engines.reduce((sum, { sharedReadTokens }) => sum + sharedReadTokens, 0);
  }

  private get distinctTokens(): number {
    return [...this.partTokens.values()].reduce((sum, tokens) => sum + tokens, 0);
  }

  private startCounting(): void {
    this.uncountedAgainTokens = this.sharedReadTokens - this.distinctTokens;
    this.resetOutcomes();
    if (this.reads) this.reads.summaryReads = 0;
  }

  private resetOutcomes(): void {
    for (const { name } of this.scenario.kinds) {
      this.outcomes.set(name, noOutcomes());
      this.prefills.set(name, noPrefills());
    }
  }

  private createReads(lostShare: number): PrefixReadNetwork {
    const { kinds, engines } = this.scenario;
    const ownRate = kinds.reduce((sum, { perSecond, ownTokens }) => sum + perSecond * ownTokens, 0);
    const memory = {
      capacityTokens: this.fleet.cacheTokens,
      unsharedTokensPerSecond: ownRate / engines,
    };
    return new PrefixReadNetwork(this.clock, this.random, this.registry, memory, lostShare);
  }

  private addEngine(index: number): void {
    const { zones } = this.scenario;
    const { speeds, slots, noise, ...rates } = this.fleet;
    const zone = `zone-${Math.floor(index / speeds.length) % zones}`;
    this.registry.put(
      engineRecord(`engine-${index}`, undefined, { service: SERVICE, zone, slots }),
    );
    const profile = { ...rates, slots, slowdownFactor: 1 / this.speedOf(index) };
    const noiseSeed = this.scenario.seed * 1_000 + index;
    this.engines.push(
      new BatchingEngine(
        this.clock,
        noise ? { ...profile, noiseAt: noiseOf(noise, noiseSeed) } : profile,
      ),
    );
  }

  private speedOf(index: number): number {
    const { speeds } = this.fleet;
    return speeds[index % speeds.length] ?? 1;
  }

  /** Speeds as routers know them. */
  private speedView(): EngineSpeedView {
    if (!this.scenario.areSpeedsKnown) return DEFAULT_ENGINE_SPEEDS;
    const { readTokensPerMs, stepMs } = this.fleet;
    const known = new Map(
      this.registry.ofService(SERVICE).map(({ record: { id } }) => {
        const speed = this.speedOf(indexOf(id));
        const prefillTokensPerMs = readTokensPerMs * speed;
        return [id, { ...DEFAULT_ENGINE_SPEED, prefillTokensPerMs, tokenMs: stepMs / speed }];
      }),
    );
    return { at: (id) => known.get(id) ?? DEFAULT_ENGINE_SPEED };
  }

  private addRouter(index: number, homes: HomeRanking): void {
    const tables = {
      loads: new LoadTable(),
      health: new EngineHealth(),
      cachedPrefixes: new CachedPrefixes(),
      versions: new WeightVersions(7_000, new StoreOutages()),
      random: new SeededRandom(this.scenario.seed * 1_000 + index),
      homes,
      speeds: this.speedView(),
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
    const prefills = this.prefills.get(kind.name) as KindPrefills;
    outcomes.sent += 1;
    const generation = this.nextGeneration(kind);
    const router = this.routers[Math.floor(this.random.next() * this.routers.length)];
    if (!router) return;
    const placement = placeRequest(
      {
        candidates: this.registry.ofService(SERVICE),
        profile: {
          slots: this.fleet.slots,
          cacheCapacityTokens: this.fleet.cacheTokens,
          cacheTokenBytes: 163_840,
          linkMbps: this.scenario.linkMbps ?? DEFAULT_LINK_MBPS,
          maximumEventCalls: 8,
        },
        generation,
        cacheNamespace: '',
        excluded: new Set(),
        zone: router.zone,
        gapObjectiveMs: this.scenario.gapObjectiveMs,
        ...(this.scenario.gapObjectiveMs && { objectiveMs: kind.firstTokenObjectiveMs }),
        stores: [],
        storePressure: StorePressure.High,
        connectionShare: this.fleet.slots,
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
    const engine = this.engines[indexOf(id)] as BatchingEngine;
    const sentMs = this.clock.now();
    let lastMs: number | undefined;
    let isLateFirst = false;
    let isLatePause = false;
    const { parts, promptTokens } = generation;
    const sharedParts = parts.slice(0, -1);
    const ownPart = parts.at(-1);
    for (const { id: partId, tokens } of sharedParts) this.partTokens.set(partId, tokens);
    this.clock.setTimer(NETWORK_DELAY_MS, () =>
      engine.send({
        sharedParts,
        ...(kind.cachesOwnParts && ownPart && { cachedOwnPart: ownPart }),
        promptTokens,
        outputTokens: generation.maximumOutputTokens,
        fetchableTokens: this.fetchableTokens(placement, sharedParts),
        urgency: kind.priority,
        onAdmitted: (unreadTokens) => {
          prefills.admitted += 1;
          prefills.believedUnreadTokens += placement.unreadTokens;
          prefills.unreadTokens += unreadTokens;
        },
        onEvent: () => {
          const now = this.clock.now();
          load.noteEvent();
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

  private nextGeneration(kind: GenerationKind): GenerationShape {
    this.requests += 1;
    const affinityKey = this.nextAffinityKey(kind);
    const ownTokens = this.logNormal(kind.ownTokens, 1);
    const outputTokens = this.logNormal(kind.outputTokens, 0.7);
    const { root } = kind;
    const rootTokens = root?.tokens ?? 0;
    const parts = [
      ...(root
        ? [
            {
              id: `${root.name ?? `${kind.name}-root`}-${affinityKey % root.count}`,
              tokens: rootTokens,
            },
          ]
        : []),
      { id: `${kind.name}-${affinityKey}`, tokens: kind.sharedTokens - rootTokens },
      { id: `own-${this.requests}`, tokens: ownTokens },
    ];
    const promptTokens = kind.sharedTokens + ownTokens;
    return { model: MODEL, parts, promptTokens, maximumOutputTokens: outputTokens };
  }

  private nextAffinityKey({ affinityKeyCount, hotKey }: GenerationKind): number {
    const now = this.clock.now();
    const isHot = hotKey && now >= hotKey.fromMs && now < hotKey.untilMs;
    if (isHot && this.random.next() < hotKey.share) return hotKey.key ?? affinityKeyCount - 1;
    return Math.floor(this.random.next() ** 1.3 * affinityKeyCount);
  }

  /** Draws from a log-normal distribution with the given mean. */
  private logNormal(mean: number, sigma: number): number {
    const angle = 2 * Math.PI * this.random.next();
    const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(angle);
    return Math.max(1, Math.round(mean * Math.exp(sigma * normal - (sigma * sigma) / 2)));
  }
}

function indexOf(engineId: string): number {
  return Number(engineId.slice('engine-'.length));
}
