/** The kinds of object that a router follows in the store, and who takes what they bring. */
import { ListFreshness } from '../../protocol/object-store/port.js';
import type { EngineList } from './engine-list.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { MalformedEntries } from './malformed-entries.js';
import { type FollowHandlers, FirstWatch, type StoreFollowers } from './store-followers.js';
import type { WeightVersionDiscovery } from './weight-version-discovery.js';

/** Who takes the objects. */
export interface KindListeners {
  readonly configuration: FollowHandlers;
  readonly engineList: EngineList;
  readonly oddEntries: MalformedEntries;
  readonly versionNews: WeightVersionDiscovery;
}

/**
 * Changes of engines' entries that come within this time are read with one call: a rollout changes an
 * entry for each load. Small against the bounds on engines that drain, 2 s and more.
 */
const ENGINE_GATHER_MS = 200;

/** Follows the configuration, the engines and the named weights from now on. */
export function followKinds(
  followers: StoreFollowers,
  { kinds, configurationWatchMs, engineWatchMs, versionWatchMs }: GatewaySettings,
  { configuration, engineList, oddEntries, versionNews }: KindListeners,
): void {
  // Requests with a key wait for a proof, so a router that starts asks for a current list.
  followers.follow(
    {
      kind: kinds.configuration,
      watchMs: configurationWatchMs,
      gatherMs: 0,
      firstList: ListFreshness.Current,
    },
    FirstWatch.IfJoined,
    configuration,
  );
  followers.follow(
    {
      kind: kinds.engines,
      watchMs: engineWatchMs,
      gatherMs: ENGINE_GATHER_MS,
      firstList: ListFreshness.MayBeOld,
    },
    FirstWatch.AfterJoining,
    {
      onList: (objects) => engineList.takeAll(objects),
      onObject: (object) => engineList.take(object),
      onGone: (name, position) => engineList.takeGone(name, position),
      onUnnamed: (items, position) => oddEntries.noteUnnamed(items, position),
      onFailure: () => engineList.noteFailure(),
      onRestored: () => engineList.noteRestored(),
    },
  );
  followers.follow(
    {
      kind: kinds.weightVersions,
      watchMs: versionWatchMs,
      gatherMs: 0,
      firstList: ListFreshness.MayBeOld,
    },
    FirstWatch.AfterJoining,
    {
      onList: (objects) => versionNews.takeList(objects),
      onObject: (object, _proven, isRelayed) => versionNews.takeChange(object, isRelayed),
      onAnswer: (proven, isRelayed) => versionNews.noteAnswer(proven, isRelayed),
      onFailure: () => versionNews.noteFailure(),
    },
  );
}
