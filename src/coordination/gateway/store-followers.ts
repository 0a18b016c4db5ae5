/** The kinds of object that one router follows in the store, and what it learns from all of them. */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { ObjectStorePort, StoredObject } from '../../protocol/object-store/port.js';
import type { StoreOutages } from '../../state/routing/store-outages.js';
import { type FollowerSettings, ObjectFollower } from './object-follower.js';

/** Receives what the store says of one kind; moments are on the steady clock. */
export interface FollowHandlers {
  /** The whole kind as it is; left out: each object is handed on by itself. */
  onList?(objects: readonly StoredObject[], provenMs: number): void;
  onObject(object: StoredObject, provenMs: number): void;
  onGone?(name: string): void;
  /** A call was answered: at `provenMs` nothing newer was there. */
  onAnswer?(provenMs: number): void;
  onFailure?(): void;
}

/** The group, as far as this needs it. */
export interface SettlingGroup {
  /** Changes with every change of the group. */
  readonly version: number;
}

/**
 * A router that starts begins to watch when its view of the group has stood still for this long: only
 * then does it know the router to follow through.
 */
const GROUP_CALM_MS = 300;
/** It waits no longer than this; 170 of 195 routers that start together are known after 0.8 s. */
const LONGEST_SETTLING_MS = 1_200;
const SETTLING_CHECK_MS = 100;

/** Follows kinds until stopped. */
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

  /** Follows one more kind. */
  follow(settings: Omit<FollowerSettings, 'settled'>, handlers: FollowHandlers): void {
    const { clock, random, logger } = this;
    const follower = new ObjectFollower(
      { ...settings, settled: () => this.waitForGroup() },
      this.store,
      {
        onList: (objects, provenMs) => {
          if (handlers.onList) handlers.onList(objects, provenMs);
          else for (const object of objects) handlers.onObject(object, provenMs);
        },
        onObject: (object, provenMs) => handlers.onObject(object, provenMs),
        onGone: (name) => handlers.onGone?.(name),
        onAnswer: (provenMs) => {
          this.outages.noteAnswer(clock.now());
          handlers.onAnswer?.(provenMs);
        },
        onFailure: () => {
          this.outages.noteFailure(clock.now());
          handlers.onFailure?.();
        },
        onHistoryGone: () => this.refreshOthers(follower),
      },
      clock,
      random,
      logger,
    );
    this.followers.push(follower);
    follower.start();
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private async waitForGroup(): Promise<void> {
    const { clock, group } = this;
    const latestMs = clock.now() + LONGEST_SETTLING_MS;
    let seenVersion = group.version;
    let changedMs = clock.now();
    while (clock.now() < latestMs && clock.now() - changedMs < GROUP_CALM_MS) {
      await sleep(clock, SETTLING_CHECK_MS);
      if (group.version !== seenVersion) changedMs = clock.now();
      seenVersion = group.version;
    }
  }

  /** What one watch found out holds for the others too; they would find it only when they end. */
  private refreshOthers(finder: ObjectFollower): void {
    for (const follower of this.followers) if (follower !== finder) void follower.refresh();
  }
}
