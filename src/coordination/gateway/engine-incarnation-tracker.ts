/**
 * Detects restarts of engines from whichever source shows them first: the engine's entry in the
 * store, one of its responses, or an announcement of another router. A restart invalidates all
 * state of the previous incarnation.
 */
import type { Logger } from '../../runtime/logger.js';
import {
  isLaterIncarnation,
  isDifferentIncarnation,
  parseIncarnation,
} from '../../state/routing/engine-incarnation.js';
import type {
  EngineRecord,
  EngineRegistry,
  PutOutcome,
} from '../../state/routing/engine-registry.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Source that revealed a new incarnation. */
export type IncarnationSource = 'entry' | 'report' | 'order' | 'cache-events' | 'router';

/** A restart of an engine: its previous incarnation, and the start time of the new one. */
export interface EngineRestart {
  readonly former: EngineRecord;
  /** Start time of the new incarnation, in Unix milliseconds by the engine's clock. */
  readonly bornMs: number;
}

/** Receives changes of incarnations. */
export interface IncarnationListener {
  /** Called when the listed incarnation of an engine was replaced. */
  onChanged(): void;
  /** Called when an incarnation with an earlier start time was replaced, which proves a restart. */
  onRestarted(restart: EngineRestart): void;
}

/** Tracks the incarnations of all engines, as observed by one router. */
export class EngineIncarnationTracker {
  private listener: IncarnationListener | undefined;

  constructor(
    private readonly registry: EngineRegistry,
    private readonly statistics: GatewayStatistics,
    private readonly logger: Logger,
  ) {}

  /** Must be called before the first entry. */
  connect(listener: IncarnationListener): void {
    this.listener = listener;
  }

  /** Applies an engine's entry; entries must be passed in the store's order. */
  applyEntry(record: EngineRecord): PutOutcome {
    const outcome = this.registry.put(record);
    if (outcome.kind === 'reborn') this.handleRestart(outcome.former, record.bornMs, 'entry');
    return outcome;
  }

  /**
   * Checks the start time stated in an engine's response. Returns false if the response is of
   * another incarnation than the queried one; the caller must then discard it.
   */
  acceptResponse(
    { id }: EngineRecord,
    bornMs: number | undefined,
    source: IncarnationSource,
  ): boolean {
    return this.acceptResponseOf(id, bornMs, source);
  }

  /** As {@link acceptResponse}, for an incarnation that is known by its identifier only. */
  acceptResponseOf(
    incarnation: string,
    bornMs: number | undefined,
    source: IncarnationSource,
  ): boolean {
    if (!isDifferentIncarnation(bornMs, parseIncarnation(incarnation).bornMs)) return true;
    if (bornMs === undefined) return false;
    const previous = this.registry.noteAnswer(incarnation, bornMs);
    if (previous) this.handleRestart(previous, bornMs, source);
    return false;
  }

  /** Handles an incarnation mentioned by another router, which may be later than the listed one. */
  observeIncarnation(incarnation: string): void {
    const { name, bornMs } = parseIncarnation(incarnation);
    if (bornMs === undefined) return;
    const previous = this.registry.noteHearsay(name, bornMs);
    if (previous) this.handleRestart(previous, bornMs, 'router');
  }

  private handleRestart(
    previous: EngineRecord,
    bornMs: number | undefined,
    source: IncarnationSource,
  ): void {
    this.statistics.enginesReborn += 1;
    this.logger.warn('engine_reborn', {
      engine: previous.id,
      address: previous.address,
      old_born_ms: previous.bornMs,
      new_born_ms: bornMs,
      found_by: source,
    });
    this.listener?.onChanged();
    // An earlier start time doesn't prove that the known incarnation has ended.
    if (bornMs === undefined || !isLaterIncarnation(bornMs, previous.bornMs)) return;
    this.listener?.onRestarted({ former: previous, bornMs });
  }
}
