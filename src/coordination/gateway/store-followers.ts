/** Followers of all object kinds that one router reads from the store. */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { ObjectStorePort, StoredObject } from '../../protocol/object-store/port.js';
import type { StoreOutages } from '../../state/routing/store-outages.js';
import { type FollowerSettings, ObjectFollower } from './object-follower.js';

/** Handles the objects and the state of the connection for one kind. */
export interface FollowHandlers {
  /** Handles a list; if omitted, `onObject` is called for each object. */
  onList?(objects: readonly StoredObject[], proven: ElapsedInstant): void;
  onObject(object: StoredObject, proven: ElapsedInstant, isRelayed: boolean): void;
  onRemoved?(name: string, position: StorePosition): void;
  /** A response contained items without a readable key. */
  onUnnamed?(items: number, position: StorePosition): void;
  /** A call succeeded; the state was current at `proven`. */
  onResponse?(proven: ElapsedInstant, isRelayed: boolean): void;
  onFailure?(): void;
  /** The store was restored from an older copy; the next list contains the restored state. */
  onRestored?(): void;
}

/** The parts of the group that the followers use. */
export interface SettlingGroup {
  /** Whether this router has joined, which requires a configuration and the engine list. */
  readonly hasJoined: boolean;
  /** Increases with each change of the membership view. */
  readonly version: number;
}

/** When the first watch of a kind starts. */
export enum FirstWatch {
  /** Waits for a stable group only if this router has joined, since joining may need the watch. */
  IfJoined = 'if-joined',
  /** Waits until this router has joined and its view of the group is stable. */
  AfterJoining = 'after-joining',
}

/** Time for the first lists of all kinds to arrive, after which a router usually joins. */
const FIRST_LISTS_MS = 100;
/**
 * After joining, a router starts to watch when its view of the group has not changed for this long,
 * so that it chooses the right reader.
 */
const GROUP_STABLE_MS = 300;
/** Minimum wait after joining; covers routers of the same deployment that start slightly later. */
const MINIMUM_SETTLING_MS = 800;
/** Maximum wait after joining. Of 195 routers that start together, 170 are known after 0.8 s. */
const MAXIMUM_SETTLING_MS = 1_200;
/** Maximum wait for joining, which requires a configuration. */
const MAXIMUM_JOINING_MS = 3_000;
const SETTLING_CHECK_MS = 100;

/** Follows several kinds until it is stopped. */
export class StoreFollowers {
  private readonly followers: ObjectFollower[] = [];

  constructor(
    private readonly store: ObjectStorePort,
    private readonly group: SettlingGroup,
    private readonly outages: StoreOutages,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  /** Starts to follow a kind. */
  follow(
    settings: Omit<FollowerSettings, 'settled'>,
    firstWatch: FirstWatch,
    handlers: FollowHandlers,
  ): void {
    const { clock, random, logger } = this;
    const follower = new ObjectFollower(
      { ...settings, settled: () => this.waitForGroup(firstWatch) },
      this.store,
      {
        onList: (objects, proven) => {
          if (handlers.onList) handlers.onList(objects, proven);
          else for (const object of objects) handlers.onObject(object, proven, false);
        },
        onObject: (object, proven, isRelayed) => handlers.onObject(object, proven, isRelayed),
        onRemoved: (name, position) => handlers.onRemoved?.(name, position),
        onUnnamed: (items, position) => handlers.onUnnamed?.(items, position),
        onResponse: (proven, isRelayed) => {
          this.outages.recordResponse(clock.now());
          handlers.onResponse?.(proven, isRelayed);
        },
        onFailure: () => {
          this.outages.recordFailure(clock.now());
          handlers.onFailure?.();
        },
        onHistoryLost: () => this.refreshOthers(follower),
        onRestored: (era) => {
          handlers.onRestored?.();
          for (const each of this.followers) void each.refreshIfBefore(era);
        },
      },
      clock,
      random,
      logger,
    );
    this.followers.push(follower);
    follower.start();
  }

  /** Lists a kind immediately to get a new proof that its state is current. */
  renew(kind: string): void {
    for (const follower of this.followers) if (follower.kind === kind) void follower.refresh();
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private async waitForGroup(firstWatch: FirstWatch): Promise<void> {
    const { clock, group } = this;
    await sleep(clock, FIRST_LISTS_MS);
    if (firstWatch === FirstWatch.IfJoined && !group.hasJoined) return;
    const latestMs = clock.now() + MAXIMUM_JOINING_MS;
    while (!group.hasJoined && clock.now() < latestMs) await sleep(clock, SETTLING_CHECK_MS);
    if (group.hasJoined) await this.waitUntilStable();
  }

  private async waitUntilStable(): Promise<void> {
    const { clock, group } = this;
    const beganMs = clock.now();
    let seenVersion = group.version;
    let changedMs = beganMs;
    const isSettled = (): boolean => {
      const waitedMs = clock.now() - beganMs;
      const isStable = clock.now() - changedMs >= GROUP_STABLE_MS;
      return waitedMs >= MAXIMUM_SETTLING_MS || (isStable && waitedMs >= MINIMUM_SETTLING_MS);
    };
    while (!isSettled()) {
      await sleep(clock, SETTLING_CHECK_MS);
      if (group.version !== seenVersion) changedMs = clock.now();
      seenVersion = group.version;
    }
  }

  /** Lists the other kinds too: their watches would reveal the lost history only when they end. */
  private refreshOthers(source: ObjectFollower): void {
    for (const follower of this.followers) if (follower !== source) void follower.refresh();
  }
}
