/**
 * The engines that one router knows: their list, their lives, the feeds of what they keep. What is
 * remembered of an engine goes with its life.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineHealth } from '../../state/routing/engine-health.js';
import { EngineRegistry } from '../../state/routing/engine-registry.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import { CacheFeeds } from './cache-feeds.js';
import { EngineList } from './engine-list.js';
import { EngineIncarnationTracker, type EngineRestart } from './engine-incarnation-tracker.js';
import { FollowedFeeds } from './followed-feeds.js';
import { CLOCK_TOLERANCE_MS } from './previous-incarnation.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { GroupMembership } from './group-membership.js';
import type { ObjectDecoder } from './object-decoder.js';
import { MalformedEntries } from './malformed-entries.js';

/** What this works with. */
export interface ListedEnginesParts {
  readonly configuration: ConfigurationState;
  readonly health: EngineHealth;
  readonly kept: CachedPrefixes;
  readonly engines: InferencePort;
  readonly group: GroupMembership;
  readonly statistics: GatewayStatistics;
  readonly decoder: ObjectDecoder;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Time after which a draining engine must get no new work, in milliseconds. */
  readonly drainMs: number;
  /** An engine's entry that its engine does not write for so long lapses, in milliseconds. */
  readonly entryLifetimeMs: number;
}

/** Receives what happens to the engines. */
export interface ListedEnginesListener {
  onChanged(): void;
  /** A life of an engine is over: no order to it is under way, and what it ran may have crashed it. */
  onReborn(rebirth: EngineRestart): void;
  /** Called at a rebirth and once more a little later: what runs in the former life is broken. */
  breakFormerLife(rebirth: EngineRestart): void;
}

/** The engines of one router. */
export class ListedEngines {
  readonly registry = new EngineRegistry();
  readonly lives: EngineIncarnationTracker;
  readonly odd: MalformedEntries;
  readonly list: EngineList;
  private readonly feeds: CacheFeeds;
  private readonly followedFeeds: FollowedFeeds;
  private listener: ListedEnginesListener | undefined;
  private followsFeeds = false;
  private isChangePending = false;

  constructor(private readonly parts: ListedEnginesParts) {
    const { registry } = this;
    const { configuration, group, statistics, clock, logger } = parts;
    this.lives = new EngineIncarnationTracker(registry, statistics, logger);
    this.lives.connect({
      onChanged: () => this.noteChangedSoon(),
      onRestarted: (rebirth) => this.noteReborn(rebirth),
    });
    this.odd = new MalformedEntries(statistics, clock, logger);
    this.feeds = new CacheFeeds({
      ...parts,
      isOfHolder: (holder, bornMs) => this.lives.takeAnswerOf(holder, bornMs, 'cache-events'),
    });
    this.followedFeeds = new FollowedFeeds(this.feeds, configuration, registry, group);
    this.list = new EngineList({
      ...parts,
      registry,
      lives: this.lives,
      odd: this.odd,
      onChanged: () => this.noteChanged(),
      isKnownService: (service) => this.isKnownService(service),
    });
  }

  /** Must be called before the first entry. */
  connect(listener: ListedEnginesListener): void {
    this.listener = listener;
  }

  /** Whether the configuration has a service of this name; true while there is no configuration. */
  isKnownService(name: string): boolean {
    const services = this.parts.configuration.current?.configuration.services;
    return services?.some((service) => service.name === name) ?? true;
  }

  /** Follows this router's share of the feeds from now on: its place among the routers is known. */
  startFeeds(): void {
    this.followsFeeds = true;
    this.updateFeeds();
  }

  /** Keeps the followed feeds in step with engines and group; call now and then. */
  updateFeeds(): void {
    if (this.followsFeeds) this.followedFeeds.update();
  }

  stop(): void {
    this.feeds.stop();
  }

  /** The list of engines has changed: what was kept for those that are gone goes too. */
  private noteChanged(): void {
    const { engines, health, kept, configuration } = this.parts;
    const { ids } = this.registry;
    engines.retain(ids);
    health.retain(ids);
    const stores = configuration.current?.cacheStores ?? [];
    const addresses = stores.flatMap(({ cacheStore }) => cacheStore?.address ?? []);
    kept.retain(new Set([...ids, ...addresses]));
    this.listener?.onChanged();
  }

  /**
   * One step for all lives that change in one list: each would look at all engines. What is kept of a
   * former life meanwhile has its own key, so nobody finds it.
   */
  private noteChangedSoon(): void {
    if (this.isChangePending) return;
    this.isChangePending = true;
    this.parts.clock.setTimer(0, () => {
      this.isChangePending = false;
      this.updateFeeds();
      this.noteChanged();
    });
  }

  private noteReborn(rebirth: EngineRestart): void {
    this.listener?.onReborn(rebirth);
    this.listener?.breakFormerLife(rebirth);
    // A call whose connection had just shown a sign is looked at once more.
    this.parts.clock.setTimer(CLOCK_TOLERANCE_MS, () => this.listener?.breakFormerLife(rebirth));
  }
}
