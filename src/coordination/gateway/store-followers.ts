/** The kinds of object that one router follows in the store, and what it learns from all of them. */
import type { Clock } from '../../runtime/clock.js';
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

/**
 * A router that starts begins to watch after this long: by then it has heard of the group, and so of
 * the router to follow through. Routers of a deployment start within 0.3 s of each other.
 */
const GROUP_SETTLING_MS = 500;

/** Follows kinds until stopped. */
export class StoreFollowers {
  private readonly followers: ObjectFollower[] = [];

  constructor(
    private readonly store: ObjectStorePort,
    private readonly outages: StoreOutages,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  /** Follows one more kind. */
  follow(settings: Omit<FollowerSettings, 'settleMs'>, handlers: FollowHandlers): void {
    const { clock, random, logger } = this;
    const follower = new ObjectFollower(
      { ...settings, settleMs: GROUP_SETTLING_MS },
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

  /** What one watch found out holds for the others too; they would find it only when they end. */
  private refreshOthers(finder: ObjectFollower): void {
    for (const follower of this.followers) if (follower !== finder) void follower.refresh();
  }
}
