/** Selects the cache event feeds that this router follows: its share, by its rank in the group. */
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { type CacheFeed, assignedFeeds } from '../../state/routing/feed-share.js';
import type { CacheFeeds } from './cache-feeds.js';
import type { GroupMembership } from './group-membership.js';

/** Updates the followed feeds after changes of the configuration, the engines or the group. */
export class FollowedFeeds {
  constructor(
    private readonly feeds: CacheFeeds,
    private readonly configuration: ConfigurationState,
    private readonly registry: EngineRegistry,
    private readonly group: GroupMembership,
  ) {}

  /** Recomputes and follows this router's share. */
  update(): void {
    const services = this.configuration.current?.configuration.services;
    if (!services) return;
    const sources: CacheFeed[] = [];
    for (const { name, engine, cacheStore } of services) {
      if (cacheStore) {
        const { address, maximumEventCalls } = cacheStore;
        sources.push({ holder: address, address, maximumCalls: maximumEventCalls });
      }
      if (!engine) continue;
      for (const { record } of this.registry.ofService(name)) {
        const { id: holder, address } = record;
        sources.push({ holder, address, maximumCalls: engine.maximumEventCalls });
      }
    }
    this.feeds.follow(assignedFeeds(sources, this.rank, this.group.working.length));
  }

  /** Rank among the working routers, ordered by identifier. */
  private get rank(): number {
    const { own, working } = this.group;
    return working.filter((member) => member.nodeId < own.nodeId).length;
  }
}
