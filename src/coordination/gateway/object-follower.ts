/**
 * Follows all objects of one kind in the store: a list, then watches from its position. A watch that
 * was cut goes on from where it stood; lost history is read again as a list.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import { StoreEra, StorePosition } from '../../runtime/store-position.js';
import {
  ListFreshness,
  type ObjectStorePort,
  type StoredObject,
  type UnnamedItems,
} from '../../protocol/object-store/port.js';
import {
  type ProtocolError,
  ProtocolFailure,
  describeProtocolError,
  toProtocolError,
} from '../../protocol/errors.js';

/** Receives what the store tells. `proven`: a moment at which that was the newest there was. */
export interface FollowerEvents {
  /** The whole kind as it is. */
  onList(objects: readonly StoredObject[], proven: ElapsedInstant): void;
  onObject(object: StoredObject, proven: ElapsedInstant, isRelayed: boolean): void;
  /** @param position of the object's last change before it went */
  onGone(name: string, position: StorePosition): void;
  /** Items of an answer had no key that can be read; the answer's other items hold. */
  onUnnamed(items: number, position: StorePosition): void;
  /** A call was answered, whether or not it brought a change, by the store or by a router in its place. */
  onAnswer(proven: ElapsedInstant, isRelayed: boolean): void;
  /** A call was not answered. */
  onFailure(): void;
  /** The store has forgotten its history: other watches may be waiting in vain. */
  onHistoryGone(): void;
  /** The store is back from an older copy of itself, which the list that follows shows. */
  onRestored(era: number): void;
}

/** How one kind is followed. */
export interface FollowerSettings {
  readonly kind: string;
  /** A watch waits this long at most; the answer of an idle one proves that nothing changed. */
  readonly watchMs: number;
  /** Pause after an answer that brought changes, so that one call brings the next few of them. */
  readonly gatherMs: number;
  /**
   * Resolves when the first watch may follow the first list: a router that joins hears of its group
   * first, and then follows through a router that reads the store.
   */
  settled(): Promise<void>;
  /** How current the first list must be; what it lacks comes with the first watch. */
  readonly firstList: ListFreshness;
}

/** Statuses by which a store says that it did nothing and that the caller should come again. */
const RetryLaterStatus = { TooManyRequests: 429, ServiceUnavailable: 503 } as const;
/** First pause after a call that failed; it doubles with each further failure. */
const FIRST_PAUSE_MS = 60;
/** Longest such pause: a store that is back is found within a second. */
const LONGEST_PAUSE_MS = 500;

/** Follows one kind until stopped. */
export class ObjectFollower {
  /** Where the next watch begins; undefined where the kind must be listed first. */
  private position: StorePosition | undefined;
  /** The newest state that was taken; an older one is never taken. */
  private newestPosition = StorePosition.start;
  private hasListed = false;
  private failures = 0;
  private isStopped = false;
  private isRefreshing = false;

  constructor(
    private readonly settings: FollowerSettings,
    private readonly store: ObjectStorePort,
    private readonly events: FollowerEvents,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly logger: Logger,
  ) {}

  get kind(): string {
    return this.settings.kind;
  }

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Reads the whole kind beside a watch that may be waiting in vain. What that watch answers in the end
   * is dropped: the next one goes on from the list.
   */
  async refresh(): Promise<void> {
    if (this.position === undefined || this.isRefreshing) return;
    this.isRefreshing = true;
    try {
      await this.list(ListFreshness.Current);
    } catch (cause) {
      const reason = describeProtocolError(toProtocolError(cause, 'store'));
      this.logger.warn('store_refresh_failed', { kind: this.settings.kind, reason });
    } finally {
      this.isRefreshing = false;
    }
  }

  /** Reads the whole kind where it is known only as of an era before this one. */
  async refreshIfBefore(era: number): Promise<void> {
    if (this.newestPosition.era < era) await this.refresh();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step();
        this.noteAnswer();
      } catch (cause) {
        await this.noteFailure(cause);
      }
    }
  }

  /** One call, and the pause that follows it. */
  private async step(): Promise<void> {
    const { position: asked } = this;
    if (asked === undefined) return this.listFirst();
    const { kind, watchMs, gatherMs } = this.settings;
    const callBegan = this.clock.elapsed();
    const result = await this.store.watch(kind, asked, watchMs);
    if (this.isStopped || this.position !== asked) return;
    if (result.kind === 'history-gone') {
      this.logger.warn('store_history_gone', { kind, era: asked.era, revision: asked.revision });
      this.position = undefined;
      this.events.onHistoryGone();
      return;
    }
    const { proven = callBegan, isRelayed = false } = result;
    for (const { object, isGone } of result.events) {
      if (isGone) this.events.onGone(object.name, object.position);
      else this.events.onObject(object, proven, isRelayed);
    }
    this.noteUnnamed(result);
    this.moveTo(asked.latest(result.position));
    this.events.onAnswer(proven, isRelayed);
    if (result.events.length > 0 && gatherMs > 0) await sleep(this.clock, gatherMs);
  }

  /** Lists where no revision is known. */
  private async listFirst(): Promise<void> {
    const { firstList } = this.settings;
    const isFirst = !this.hasListed;
    // A list that may be old is worth one try; where it fails, the next one is a current one.
    this.hasListed = true;
    await this.list(isFirst ? firstList : ListFreshness.Current);
    if (isFirst) await this.settings.settled();
  }

  /** Rejects where the list is older than what was taken before: overtaken, or of a router that lags. */
  private async list(freshness: ListFreshness): Promise<void> {
    const callBegan = this.clock.elapsed();
    const list = await this.store.list(this.settings.kind, freshness);
    if (this.isStopped) return;
    const { newestPosition: knownPosition } = this;
    if (list.position.isBefore(knownPosition)) {
      throw new ProtocolFailure({ kind: 'outdated', position: list.position, knownPosition });
    }
    this.moveTo(list.position);
    if (knownPosition.era < list.position.era) this.noteEra(knownPosition, list.position);
    const proven = list.proven ?? callBegan;
    this.noteUnnamed(list);
    this.events.onList(list.objects, proven);
    this.events.onAnswer(proven, list.isRelayed ?? false);
  }

  /** A store that was restored shows older states than were seen: these are its present ones all the same. */
  private noteEra(before: StorePosition, now: StorePosition): void {
    this.logger.info('store_era', {
      kind: this.settings.kind,
      era: now.era,
      era_before: before.era,
      revision: now.revision,
      revision_before: before.revision,
    });
    if (before.era !== StoreEra.Unknown) this.events.onRestored(now.era);
  }

  private noteUnnamed({ unnamedItems, position }: UnnamedItems): void {
    if (unnamedItems) this.events.onUnnamed(unnamedItems, position);
  }

  private moveTo(position: StorePosition): void {
    this.position = position;
    this.newestPosition = this.newestPosition.latest(position);
  }

  private noteAnswer(): void {
    if (this.failures > 0) {
      this.logger.info('store_regained', { kind: this.settings.kind, failures: this.failures });
    }
    this.failures = 0;
  }

  private async noteFailure(cause: unknown): Promise<void> {
    if (this.isStopped) return;
    this.failures += 1;
    this.events.onFailure();
    const error = toProtocolError(cause, 'store');
    if (this.failures === 1) {
      const reason = describeProtocolError(error);
      this.logger.warn('store_lost', { kind: this.settings.kind, reason });
    }
    if (isPositionInDoubt(error)) this.position = undefined;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    await sleep(this.clock, pauseMs * (0.5 + this.random.next()));
  }
}

/** A store that is down or busy keeps its history; one whose answer can't be read may have lost it. */
function isPositionInDoubt(error: ProtocolError): boolean {
  if (error.kind === 'malformed') return true;
  const { TooManyRequests, ServiceUnavailable } = RetryLaterStatus;
  const isRefused = error.kind === 'rejected';
  return isRefused && error.status !== TooManyRequests && error.status !== ServiceUnavailable;
}
