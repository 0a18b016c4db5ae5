/** The product's own decision code: feeds, directory and choice, shared among a few homes. */
import type { Hasher } from '../../runtime/hasher.js';
import type { RandomSource } from '../../runtime/random.js';
import { chooseEngine } from '../../state/engine-choice.js';
import { EngineTable } from '../../state/engine-table.js';
import { EventFeed } from '../../state/event-feed.js';
import { MARK_TOKENS, tokensOfBytes } from '../../state/prefix-chain.js';
import { PrefixDirectory } from '../../state/prefix-directory.js';
import { pickByRendezvous } from '../../state/rendezvous.js';
import type { EngineCore } from '../engine/engine-core.js';
import type { PlacedRequest } from './placed-request.js';
import type { Policy } from './policy.js';

/** Routers among which the prefixes are divided. */
const HOMES = ['home-0', 'home-1', 'home-2'];
/** Loads reach the homes this often; events with each refresh. */
const LOAD_PERIOD_MS = 3_000;

/** What one home knows. */
interface Home {
  readonly table: EngineTable;
  readonly directory: PrefixDirectory;
}

interface FollowedFeed {
  feed: EventFeed;
  incarnation: number;
  nextSequence: number;
}

/** peatspan, with events and loads as late as its routers get them. */
export class PeatspanPolicy implements Policy {
  readonly name = 'peatspan';
  private readonly homes = new Map<string, Home>();
  private readonly feeds = new Map<EngineCore, FollowedFeed>();
  private loadsAtMs = Number.NEGATIVE_INFINITY;

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

  choose(request: PlacedRequest, engines: readonly EngineCore[], nowMs: number): EngineCore {
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

  onStart(request: PlacedRequest, engine: EngineCore, cachedTokens: number, nowMs: number): void {
    const { table, directory } = this.homeOf(request.marks[0] ?? 0n);
    const { engineId } = engine.settings;
    table.get(engineId)?.setLoad(engine.status().load);
    directory.correct(engineId, request.marks, Math.floor(cachedTokens / MARK_TOKENS));
    directory.confirm(engineId, engine.currentIncarnation, request.marks, nowMs);
  }

  refresh(nowMs: number): void {
    const withLoads = nowMs - this.loadsAtMs >= LOAD_PERIOD_MS;
    if (withLoads) this.loadsAtMs = nowMs;
    for (const [core, followed] of this.feeds) {
      this.follow(core, followed, nowMs);
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

  private follow(core: EngineCore, followed: FollowedFeed, nowMs: number): void {
    const batch = core.events(followed.nextSequence);
    const isGap = batch.events.length > 0 && batch.firstSequence !== followed.nextSequence;
    if (batch.incarnation !== followed.incarnation) {
      Object.assign(followed, {
        feed: new EventFeed(),
        incarnation: batch.incarnation,
        nextSequence: 1,
      });
    } else if (isGap) {
      this.resynchronize(core, followed, nowMs);
    } else {
      followed.nextSequence += batch.events.length;
      for (const event of batch.events) this.tell(core, followed.feed.apply(event), nowMs);
    }
  }

  private resynchronize(core: EngineCore, followed: FollowedFeed, nowMs: number): void {
    const snapshot = core.snapshot();
    const changes = followed.feed.replaceBy(snapshot.blocks);
    for (const change of changes) this.tell(core, change, nowMs);
    followed.nextSequence = snapshot.nextSequence;
  }

  private tell(core: EngineCore, change: ReturnType<EventFeed['apply']>, nowMs: number): void {
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
