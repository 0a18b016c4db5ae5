/** The kinds of object that one router follows in the store, and what it learns from all of them. */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { ObjectStorePort, StoredObject } from '../../protocol/object-store/port.js';
import type { StoreOutages } from '../../state/routing/store-outages.js';
import { type FollowerSettings, ObjectFollower } from './object-follower.js';

/** Receives what the store says of one kind. */
export interface FollowHandlers {
  /** The whole kind as it is; left out: each object is handed on by itself. */
  onList?(objects: readonly StoredObject[], proven: ElapsedInstant): void;
  onObject(object: StoredObject, proven: ElapsedInstant, isRelayed: boolean): void;
  onGone?(name: string, position: StorePosition): void;
  /** Items of an answer had no key that can be read. */
  onUnnamed?(items: number, position: StorePosition): void;
  /** A call was answered: at `proven` nothing newer was there. */
  onAnswer?(proven: ElapsedInstant, isRelayed: boolean): void;
  onFailure?(): void;
  /** The store is back from an older copy of itself, which the list that follows shows. */
  onRestored?(): void;
}

/** The group, as far as this needs it. */
export interface SettlingGroup {
  /** Whether this router takes part: it does as soon as it knows a configuration and the engines. */
  readonly hasJoined: boolean;
  /** Changes with every change of the group. */
  readonly version: number;
}

/** How the first watch of a kind waits for the group. */
export enum FirstWatch {
  /** It begins at once where this router has not joined: it may bring what joining needs. */
  IfJoined = 'if-joined',
  /** It waits until this router has joined and knows its group. */
  AfterJoining = 'after-joining',
}

/** Lists of all kinds are answered within this time of each other; then a router joins or lacks something. */
const JOINING_MS = 100;
/**
 * A router that has joined begins to watch when its view of the group has stood still for this long: only
 * then does it know the router to follow through.
 */
const GROUP_CALM_MS = 300;
/** It waits at least this long: routers of a deployment start within 0.3 s and then join. */
const SHORTEST_SETTLING_MS = 800;
/** It waits no longer than this after joining; 170 of 195 that start together are known after 0.8 s. */
const LONGEST_SETTLING_MS = 1_200;
/** Without a configuration no router joins; the first one may come this long after the start. */
const LONGEST_JOINING_MS = 3_000;
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
        onGone: (name, position) => handlers.onGone?.(name, position),
        onUnnamed: (items, position) => handlers.onUnnamed?.(items, position),
        onAnswer: (proven, isRelayed) => {
          this.outages.noteAnswer(clock.now());
          handlers.onAnswer?.(proven, isRelayed);
        },
        onFailure: () => {
          this.outages.noteFailure(clock.now());
          handlers.onFailure?.();
        },
        onHistoryGone: () => this.refreshOthers(follower),
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

  /** Reads a kind at once, for a proof that is newer than any in hand. */
  renew(kind: string): void {
    for (const follower of this.followers) if (follower.kind === kind) void follower.refresh();
  }

  stop(): void {
    for (const follower of this.followers) follower.stop();
  }

  private async waitForGroup(firstWatch: FirstWatch): Promise<void> {
    const { clock, group } = this;
    await sleep(clock, JOINING_MS);
    if (firstWatch === FirstWatch.IfJoined && !group.hasJoined) return;
    const latestMs = clock.now() + LONGEST_JOINING_MS;
    while (!group.hasJoined && clock.now() < latestMs) await sleep(clock, SETTLING_CHECK_MS);
    if (group.hasJoined) await this.waitUntilCalm();
  }

  private async waitUntilCalm(): Promise<void> {
    const { clock, group } = this;
    const beganMs = clock.now();
    let seenVersion = group.version;
    let changedMs = beganMs;
    const isSettled = (): boolean => {
      const waitedMs = clock.now() - beganMs;
      const isCalm = clock.now() - changedMs >= GROUP_CALM_MS;
      return waitedMs >= LONGEST_SETTLING_MS || (isCalm && waitedMs >= SHORTEST_SETTLING_MS);
    };
    while (!isSettled()) {
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
