/** The object kinds that a router follows in the store, and the handlers of their objects. */
import { ListFreshness } from '../../protocol/object-store/port.js';
import type { EngineList } from './engine-list.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { MalformedEntries } from './malformed-entries.js';
import { type FollowHandlers, FirstWatch, type StoreFollowers } from './store-followers.js';
import type { WeightVersionDiscovery } from './weight-version-discovery.js';

/** Handlers of the followed kinds. */
export interface KindHandlers {
  readonly configuration: FollowHandlers;
  readonly engineList: EngineList;
  readonly malformedEntries: MalformedEntries;
  readonly versionDiscovery: WeightVersionDiscovery;
}

/**
 * Engine changes within this time are read with one call, since a rollout changes an entry for each
 * load. Much shorter than the limits on draining engines.
 */
const ENGINE_BATCH_DELAY_MS = 200;

/** Starts to follow the configuration, the engines and the named weight versions. */
export function followKinds(
  followers: StoreFollowers,
  { kinds, configurationWatchMs, engineWatchMs, versionWatchMs }: GatewaySettings,
  { configuration, engineList, malformedEntries, versionDiscovery }: KindHandlers,
): void {
  // Requests with an API key need a current configuration, so the first list must be current.
  followers.follow(
    {
      kind: kinds.configuration,
      watchMs: configurationWatchMs,
      batchDelayMs: 0,
      firstList: ListFreshness.Current,
    },
    FirstWatch.IfJoined,
    configuration,
  );
  followers.follow(
    {
      kind: kinds.engines,
      watchMs: engineWatchMs,
      batchDelayMs: ENGINE_BATCH_DELAY_MS,
      firstList: ListFreshness.MayBeStale,
    },
    FirstWatch.AfterJoining,
    {
      onList: (objects) => engineList.applyAll(objects),
      onObject: (object) => engineList.apply(object),
      onRemoved: (name, position) => engineList.applyRemoval(name, position),
      onUnnamed: (items, position) => malformedEntries.reportUnnamed(items, position),
      onFailure: () => engineList.noteFailure(),
      onRestored: () => engineList.noteRestored(),
    },
  );
  followers.follow(
    {
      kind: kinds.weightVersions,
      watchMs: versionWatchMs,
      batchDelayMs: 0,
      firstList: ListFreshness.MayBeStale,
    },
    FirstWatch.AfterJoining,
    {
      onList: (objects) => versionDiscovery.applyList(objects),
      onObject: (object, _proven, isRelayed) => versionDiscovery.applyChange(object, isRelayed),
      onAnswer: (proven, isRelayed) => versionDiscovery.recordResponse(proven, isRelayed),
      onFailure: () => versionDiscovery.noteFailure(),
    },
  );
}
