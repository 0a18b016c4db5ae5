/** Applies the event feeds, prefix directory and engine choice of peatspan itself. */
import type { Hasher } from '../../runtime/hasher.js';
import type { RandomSource } from '../../runtime/random.js';
import { chooseEngine } from '../../state/engine-choice.js';
import { EngineTable } from '../../state/engine-table.js';
import { EventFeed } from '../../state/event-feed.js';
import { MARK_TOKENS, tokensOfBytes } from '../../state/prefix-chain.js';
import { PrefixDirectory } from '../../state/prefix-directory.js';
import { pickByRendezvous } from '../../state/rendezvous.js';
import type { EngineCore } from '../engine/engine-core.js';
import type { HashedRequest } from './hashed-request.js';
import type { Policy } from './policy.js';

/** Routers among which the prefixes are divided by rendezvous hashing. */
const HOMES = ['home-0', 'home-1', 'home-2'];
/** Interval of load reports. Events arrive with each refresh. */
const LOAD_REPORT_INTERVAL_MS = 3_000;

/** State of one home router. */
interface Home {
  readonly table: EngineTable;
  readonly directory: PrefixDirectory;
}

/** Position in the event feed of one engine. */
interface FeedState {
  feed: EventFeed;
  incarnation: number;
  nextSequence: number;
}

/** The peatspan policy. Events and loads arrive with the same delay as at real routers. */
export class PeatspanPolicy implements Policy {
  readonly name = 'peatspan';
  private readonly homes = new Map<string, Home>();
  private readonly feeds = new Map<EngineCore, FeedState>();
  private lastLoadReportMs = Number.NEGATIVE_INFINITY;

  constructor(
    engines: readonly EngineCore[],
    private readonly recomputeWeight: number,
    private readonly hasher: Hasher,
    private readonly random: RandomSource,
  ) {
    for (const home of HOMES) this.homes.set(home, createHome(engines));
    for (const core of engines) {
      this.feeds.set(core, { feed: new EventFeed(), incarnation: 0, nextSequence: 1 });
    }
  }

  choose(request: HashedRequest, engines: readonly EngineCore[], nowMs: number): EngineCore {
    const { table, directory } = this.homeOf(request.marks[0] ?? 0n);
    const promptTokens = tokensOfBytes(request.prompt.length);
    const choice = chooseEngine(
      table,
      directory.depths(request.marks, nowMs),
      {
        served: {
          model: request.sample.profile.model,
          weightsDigest: request.weightsDigest,
          adapterDigest: '',
        },
        promptTokens,
        sites: new Set(['site']),
        zone: 'zone',
        recomputeWeight: this.recomputeWeight,
        excluded: new Set(),
      },
      this.random,
      nowMs,
    );
    const chosen = choice?.chosen;
    const engineId = chosen?.record.machine.engineId;
    if (chosen) {
      chosen.record.addUnreportedTokens(promptTokens - chosen.cachedTokens);
      directory.assume(chosen.record.machine.engineId, request.marks, nowMs);
    }
    return (engines.find((core) => core.settings.engineId === engineId) ??
      engines[0]) as EngineCore;
  }

  onStart(request: HashedRequest, engine: EngineCore, cachedTokens: number, nowMs: number): void {
    const { table, directory } = this.homeOf(request.marks[0] ?? 0n);
    const { engineId } = engine.settings;
    table.get(engineId)?.setLoad(engine.status().load);
    directory.correct(engineId, request.marks, Math.floor(cachedTokens / MARK_TOKENS));
    directory.confirm(engineId, engine.currentIncarnation, request.marks, nowMs);
  }

  refresh(nowMs: number): void {
    const withLoads = nowMs - this.lastLoadReportMs >= LOAD_REPORT_INTERVAL_MS;
    if (withLoads) this.lastLoadReportMs = nowMs;
    for (const [core, feedState] of this.feeds) {
      this.pollFeed(core, feedState, nowMs);
      if (withLoads) this.reportLoad(core, nowMs);
    }
  }

  private reportLoad(core: EngineCore, nowMs: number): void {
    const report = { ...core.status(), observedAtMs: nowMs };
    for (const { table, directory } of this.homes.values()) {
      table.putReport(report);
      directory.setIncarnation(report.engineId, report.incarnation);
    }
  }

  private pollFeed(core: EngineCore, feedState: FeedState, nowMs: number): void {
    const batch = core.events(feedState.nextSequence);
    const isGap = batch.events.length > 0 && batch.firstSequence !== feedState.nextSequence;
    if (batch.incarnation !== feedState.incarnation) {
      Object.assign(feedState, {
        feed: new EventFeed(),
        incarnation: batch.incarnation,
        nextSequence: 1,
      });
    } else if (isGap) {
      this.resynchronize(core, feedState, nowMs);
    } else {
      feedState.nextSequence += batch.events.length;
      for (const event of batch.events) this.applyChange(core, feedState.feed.apply(event), nowMs);
    }
  }

  private resynchronize(core: EngineCore, feedState: FeedState, nowMs: number): void {
    const snapshot = core.snapshot();
    const changes = feedState.feed.replaceBy(snapshot.blocks);
    for (const change of changes) this.applyChange(core, change, nowMs);
    feedState.nextSequence = snapshot.nextSequence;
  }

  private applyChange(
    core: EngineCore,
    change: ReturnType<EventFeed['apply']>,
    nowMs: number,
  ): void {
    if (!change) return;
    const { directory } = this.homeOf(change.root);
    const { engineId } = core.settings;
    directory.recordMark(engineId, core.currentIncarnation, change.mark, change.present, nowMs);
  }

  private homeOf(root: bigint): Home {
    const home = pickByRendezvous(this.hasher, root, HOMES) ?? '';
    return this.homes.get(home) as Home;
  }
}

function createHome(engines: readonly EngineCore[]): Home {
  const table = new EngineTable();
  table.replaceMachines(
    engines.map((core) => ({
      engineId: core.settings.engineId,
      address: '',
      zone: 'zone',
      site: 'site',
      leaving: false,
    })),
  );
  return { table, directory: new PrefixDirectory() };
}
