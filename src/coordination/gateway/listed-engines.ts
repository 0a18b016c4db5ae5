/**
 * The engines known to one router: their list, their incarnations, and the feeds of their cached
 * prefixes. State about an engine is dropped when its incarnation ends.
 */
import type { Clock } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { InferencePort } from '../../protocol/inference/port.js';
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineHealth } from '../../state/routing/engine-health.js';
import { type EngineRecord, EngineRegistry } from '../../state/routing/engine-registry.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';
import { CacheFeeds } from './cache-feeds.js';
import { EngineList } from './engine-list.js';
import { EngineIncarnationTracker, type EngineRestart } from './engine-incarnation-tracker.js';
import { FollowedFeeds } from './followed-feeds.js';
import { CLOCK_TOLERANCE_MS } from '../../state/routing/engine-incarnation.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { GroupMembership } from './group-membership.js';
import type { ObjectDecoder } from './object-decoder.js';
import { MalformedEntries } from './malformed-entries.js';

/** Dependencies and settings of {@link ListedEngines}. */
export interface ListedEnginesParts {
  readonly configuration: ConfigurationState;
  readonly health: EngineHealth;
  readonly cachedPrefixes: CachedPrefixes;
  readonly engines: InferencePort;
  readonly group: GroupMembership;
  readonly statistics: GatewayStatistics;
  readonly decoder: ObjectDecoder;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Time after which a draining engine must not receive new requests, in milliseconds. */
  readonly drainMs: number;
  /** Time after which an entry lapses if its engine doesn't write it again, in milliseconds. */
  readonly entryLifetimeMs: number;
}

/** Receives changes of the engines. */
export interface ListedEnginesListener {
  onChanged(): void;
  /**
   * Called at a restart: load commands to the previous incarnation are void, and it may have
   * crashed.
   */
  onRestarted(restart: EngineRestart): void;
  /** See {@link IncarnationListener.onEntry}. */
  onEntry(record: EngineRecord): void;
  /** Called when the entry of an engine was removed from the store, as the engine was last known. */
  onLapsed(record: EngineRecord): void;
  /**
   * Called at a restart and once more shortly after: sends to the previous incarnation have failed.
   */
  failPreviousIncarnation(restart: EngineRestart): void;
}

/** The engines of one router. */
export class ListedEngines {
  readonly registry = new EngineRegistry();
  readonly incarnations: EngineIncarnationTracker;
  readonly malformedEntries: MalformedEntries;
  readonly list: EngineList;
  private readonly feeds: CacheFeeds;
  private readonly followedFeeds: FollowedFeeds;
  private listener: ListedEnginesListener | undefined;
  private followsFeeds = false;
  private isChangePending = false;

  constructor(private readonly parts: ListedEnginesParts) {
    const { registry } = this;
    const { configuration, group, statistics, clock, logger } = parts;
    this.incarnations = new EngineIncarnationTracker(registry, statistics, logger);
    this.incarnations.connect({
      onChanged: () => this.scheduleChange(),
      onEntry: (record) => this.listener?.onEntry(record),
      onRestarted: (restart) => this.handleRestart(restart),
    });
    this.malformedEntries = new MalformedEntries(statistics, clock, logger);
    this.feeds = new CacheFeeds({
      ...parts,
      isOfHolder: (holder, startedAtMs) =>
        this.incarnations.acceptResponseOf(holder, startedAtMs, 'cache-events'),
    });
    this.followedFeeds = new FollowedFeeds(this.feeds, configuration, registry, group);
    this.list = new EngineList({
      ...parts,
      registry,
      incarnations: this.incarnations,
      malformed: this.malformedEntries,
      onChanged: () => this.noteChanged(),
      onLapsed: (record) => this.listener?.onLapsed(record),
      isKnownService: (service) => this.isKnownService(service),
    });
  }

  /** What requests use of the engines. */
  get requestViews(): Pick<ListedEngines, 'registry' | 'incarnations'> {
    const { registry, incarnations } = this;
    return { registry, incarnations };
  }

  /** Must be called before the first entry. */
  connect(listener: ListedEnginesListener): void {
    this.listener = listener;
  }

  /**
   * Whether the configuration has a service of this name; true while no configuration is loaded.
   */
  isKnownService(name: string): boolean {
    const services = this.parts.configuration.current?.configuration.services;
    return services?.some((service) => service.name === name) ?? true;
  }

  /**
   * Starts to follow this router's share of the feeds; requires its rank in the group to be known.
   */
  startFeeds(): void {
    this.followsFeeds = true;
    this.updateFeeds();
  }

  /** Updates the followed feeds after changes of engines or group; must be called periodically. */
  updateFeeds(): void {
    if (this.followsFeeds) this.followedFeeds.update();
  }

  stop(): void {
    this.feeds.stop();
  }

  /** Drops the state of removed engines after a change of the list. */
  private noteChanged(): void {
    const { engines, health, cachedPrefixes, configuration } = this.parts;
    const { ids } = this.registry;
    engines.retain(ids);
    health.retain(ids);
    const stores = configuration.current?.cacheStores ?? [];
    const addresses = stores.flatMap(({ cacheStore }) => cacheStore?.address ?? []);
    cachedPrefixes.retain(new Set([...ids, ...addresses]));
    this.listener?.onChanged();
  }

  /**
   * Combines all changes of incarnations in one list into one update, which visits all engines.
   * State of a previous incarnation has a key of its own, so it isn't used before the update.
   */
  private scheduleChange(): void {
    if (this.isChangePending) return;
    this.isChangePending = true;
    this.parts.clock.setTimer(0, () => {
      this.isChangePending = false;
      this.updateFeeds();
      this.noteChanged();
    });
  }

  private handleRestart(restart: EngineRestart): void {
    this.listener?.onRestarted(restart);
    this.listener?.failPreviousIncarnation(restart);
    // Repeated for calls whose connection was active shortly before.
    this.parts.clock.setTimer(CLOCK_TOLERANCE_MS, () =>
      this.listener?.failPreviousIncarnation(restart),
    );
  }
}
