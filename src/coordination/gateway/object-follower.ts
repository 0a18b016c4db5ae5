/**
 * Follows all objects of one kind in the store: a list, then watches from its position. After a
 * failed watch the next one resumes from the same position; if the store no longer has the history
 * after it, the kind is listed again.
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
  type StoreResponse,
} from '../../protocol/object-store/port.js';
import {
  type ProtocolError,
  ProtocolFailure,
  describeProtocolError,
  toProtocolError,
} from '../../protocol/errors.js';

/** Receives the objects of the store. `proven` is a time at which the state was current. */
export interface FollowerEvents {
  /** All objects of the kind. */
  onList(objects: readonly StoredObject[], proven: ElapsedInstant): void;
  onObject(object: StoredObject, proven: ElapsedInstant, isRelayed: boolean): void;
  /** @param position the position of the object's last change before its removal */
  onRemoved(name: string, position: StorePosition): void;
  /** A response contained items without a readable key; its other items are valid. */
  onUnnamed(items: number, position: StorePosition): void;
  /** A call succeeded, with or without changes, at the store or at another router. */
  onResponse(proven: ElapsedInstant, isRelayed: boolean): void;
  /** A call failed. */
  onFailure(): void;
  /** The store has lost its history, so other pending watches may never return changes. */
  onHistoryLost(): void;
  /** The store was restored from an older copy; the next list contains the restored state. */
  onRestored(era: number): void;
}

/** Settings for following one kind. */
export interface FollowerSettings {
  readonly kind: string;
  /** Longest wait of a watch; a response without changes proves that nothing changed. */
  readonly watchMs: number;
  /** Pause after a response with changes, so that one call returns the next ones together. */
  readonly batchDelayMs: number;
  /**
   * Resolves when the first watch may start after the first list. A router that joins discovers its
   * group first, so that it can follow the store through a reader.
   */
  settled(): Promise<void>;
  /** How current the first list must be; the first watch returns missing changes. */
  readonly firstList: ListFreshness;
}

/** Statuses of a store that has not processed the request and expects a retry. */
const RetryLaterStatus = { TooManyRequests: 429, ServiceUnavailable: 503 } as const;
/** Initial pause after a failed call; doubles with each further failure. */
const INITIAL_RETRY_DELAY_MS = 60;
/** Upper bound of the pause. */
const MAXIMUM_RETRY_DELAY_MS = 500;

/** Follows one kind until it is stopped. */
export class ObjectFollower {
  /** Start of the next watch; undefined if the kind must be listed first. */
  private position: StorePosition | undefined;
  /** Position of the newest state received; older states are never applied. */
  private newestPosition = StorePosition.start;
  private hasRequestedList = false;
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
   * Lists the kind while a watch is pending that may never return changes. The result of that watch
   * is discarded; the next watch starts from the list.
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

  /** Lists the kind if the newest state received is of an earlier era. */
  async refreshIfBefore(era: number): Promise<void> {
    if (this.newestPosition.era < era) await this.refresh();
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.step();
        this.recordSuccess();
      } catch (cause) {
        await this.handleFailure(cause);
      }
    }
  }

  /** Makes one call and pauses after it. */
  private async step(): Promise<void> {
    const { position: requestedPosition } = this;
    if (requestedPosition === undefined) return this.listFirst();
    const { kind, watchMs, batchDelayMs } = this.settings;
    const callStart = this.clock.elapsed();
    const result = await this.store.watch(kind, requestedPosition, watchMs);
    if (this.isStopped || this.position !== requestedPosition) return;
    if (result.kind === 'history-gone') {
      this.logger.warn('store_history_gone', {
        kind,
        era: requestedPosition.era,
        revision: requestedPosition.revision,
      });
      this.position = undefined;
      this.events.onHistoryLost();
      return;
    }
    if (result.kind === 'too-large') {
      this.logger.warn('store_changes_too_large', {
        kind,
        era: requestedPosition.era,
        revision: requestedPosition.revision,
      });
      // A list has pages, so it can be read whatever its size.
      this.position = undefined;
      return;
    }
    const { proven = callStart, isRelayed = false } = result;
    for (const { object, isGone } of result.events) {
      if (isGone) this.events.onRemoved(object.name, object.position);
      else this.events.onObject(object, proven, isRelayed);
    }
    this.reportUnnamedItems(result);
    this.advanceTo(requestedPosition.later(result.position));
    this.events.onResponse(proven, isRelayed);
    if (result.events.length > 0 && batchDelayMs > 0) await sleep(this.clock, batchDelayMs);
  }

  /** Lists the kind while no position is known. */
  private async listFirst(): Promise<void> {
    const { firstList } = this.settings;
    const isFirst = !this.hasRequestedList;
    // A possibly outdated list is requested only once; after a failure a current one is requested.
    this.hasRequestedList = true;
    await this.list(isFirst ? firstList : ListFreshness.Current);
    if (isFirst) await this.settings.settled();
  }

  /** Rejects if the list is older than the newest state received. */
  private async list(freshness: ListFreshness): Promise<void> {
    const callStart = this.clock.elapsed();
    const list = await this.store.list(this.settings.kind, freshness);
    if (this.isStopped) return;
    const { newestPosition: knownPosition } = this;
    if (list.position.isBefore(knownPosition)) {
      throw new ProtocolFailure({ kind: 'outdated', position: list.position, knownPosition });
    }
    this.advanceTo(list.position);
    if (knownPosition.era < list.position.era) this.reportEraChange(knownPosition, list.position);
    const proven = list.proven ?? callStart;
    this.reportUnnamedItems(list);
    this.events.onList(list.objects, proven);
    this.events.onResponse(proven, list.isRelayed ?? false);
  }

  /** Logs a new era; a restored store's state is current even if it is older than the one seen. */
  private reportEraChange(before: StorePosition, now: StorePosition): void {
    this.logger.info('store_era', {
      kind: this.settings.kind,
      era: now.era,
      era_before: before.era,
      revision: now.revision,
      revision_before: before.revision,
    });
    if (before.era !== StoreEra.Unknown) this.events.onRestored(now.era);
  }

  private reportUnnamedItems({ unnamedItems, position }: StoreResponse): void {
    if (unnamedItems) this.events.onUnnamed(unnamedItems, position);
  }

  private advanceTo(position: StorePosition): void {
    this.position = position;
    this.newestPosition = this.newestPosition.later(position);
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.logger.info('store_regained', { kind: this.settings.kind, failures: this.failures });
    }
    this.failures = 0;
  }

  private async handleFailure(cause: unknown): Promise<void> {
    if (this.isStopped) return;
    this.failures += 1;
    this.events.onFailure();
    const error = toProtocolError(cause, 'store');
    if (this.failures === 1) {
      const reason = describeProtocolError(error);
      this.logger.warn('store_lost', { kind: this.settings.kind, reason });
    }
    if (isPositionUncertain(error)) this.position = undefined;
    const retryDelayMs = Math.min(
      MAXIMUM_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** (this.failures - 1),
    );
    await sleep(this.clock, retryDelayMs * (0.5 + this.random.next()));
  }
}

/** An unavailable store keeps its history; a malformed response may mean that it was lost. */
function isPositionUncertain(error: ProtocolError): boolean {
  if (error.kind === 'malformed') return true;
  const { TooManyRequests, ServiceUnavailable } = RetryLaterStatus;
  const isRefused = error.kind === 'rejected';
  return isRefused && error.status !== TooManyRequests && error.status !== ServiceUnavailable;
}
