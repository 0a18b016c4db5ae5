/** Which feeds of cache events this router follows: its share of all, by its place among the routers. */
import type { ConfigurationState } from '../../state/routing/configuration-state.js';
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { type HeldFeed, ownShareOfFeeds } from '../../state/routing/feed-share.js';
import type { CacheFeeds } from './cache-feeds.js';
import type { GroupMembership } from './group-membership.js';

/** Keeps the followed feeds in step with the configuration, the engines and the group. */
export class FollowedFeeds {
  constructor(
    private readonly feeds: CacheFeeds,
    private readonly configuration: ConfigurationState,
    private readonly registry: EngineRegistry,
    private readonly group: GroupMembership,
  ) {}

  /** Follows this router's share from now on. */
  update(): void {
    const services = this.configuration.current?.configuration.services;
    if (!services) return;
    const sources: HeldFeed[] = [];
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
    this.feeds.follow(ownShareOfFeeds(sources, this.rank, this.group.working.length));
  }

  /** Place among the working routers, by identifier. */
  private get rank(): number {
    const { own, working } = this.group;
    return working.filter((member) => member.nodeId < own.nodeId).length;
  }
}
