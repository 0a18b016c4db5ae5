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
  readonly previous: EngineRecord;
  /** Start time of the new incarnation, in Unix milliseconds by the engine's clock. */
  readonly startedAtMs: number;
}

/** Receives changes of incarnations. */
export interface IncarnationListener {
  /** Called when the listed incarnation of an engine was replaced. */
  onChanged(): void;
  /** Called for each entry of a configured service whose incarnation replaces no registered one. */
  onEntry(record: EngineRecord): void;
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

  /**
   * Applies an engine's entry; entries must be passed in the store's order.
   *
   * @param isServiceKnown whether the configuration has the service of the entry. An entry of
   *   another service may have been written by another program, so its start time proves no
   *   restart.
   */
  applyEntry(record: EngineRecord, isServiceKnown = true): PutOutcome {
    const outcome = this.registry.put(record, isServiceKnown);
    if (outcome.kind === 'restarted')
      this.handleRestart(outcome.previous, record.startedAtMs, 'entry', isServiceKnown);
    else if (outcome.kind === 'stored' && isServiceKnown) this.listener?.onEntry(record);
    return outcome;
  }

  /**
   * Checks the start time stated in an engine's response. Returns false if the response is of
   * another incarnation than the queried one; the caller must then discard it.
   */
  acceptResponse(
    { id }: EngineRecord,
    startedAtMs: number | undefined,
    source: IncarnationSource,
  ): boolean {
    return this.acceptResponseOf(id, startedAtMs, source);
  }

  /** As {@link acceptResponse}, for an incarnation that is known by its identifier only. */
  acceptResponseOf(
    incarnation: string,
    startedAtMs: number | undefined,
    source: IncarnationSource,
  ): boolean {
    if (!isDifferentIncarnation(startedAtMs, parseIncarnation(incarnation).startedAtMs))
      return true;
    if (startedAtMs === undefined) return false;
    const previous = this.registry.recordResponse(incarnation, startedAtMs);
    if (previous) this.handleRestart(previous, startedAtMs, source);
    return false;
  }

  /** Handles an incarnation mentioned by another router, which may be later than the listed one. */
  observeIncarnation(incarnation: string): void {
    const { name, startedAtMs } = parseIncarnation(incarnation);
    if (startedAtMs === undefined) return;
    const previous = this.registry.recordReportedIncarnation(name, startedAtMs);
    if (previous) this.handleRestart(previous, startedAtMs, 'router');
  }

  private handleRestart(
    previous: EngineRecord,
    startedAtMs: number | undefined,
    source: IncarnationSource,
    mayProveRestart = true,
  ): void {
    this.statistics.enginesReborn += 1;
    this.logger.warn('engine_reborn', {
      engine: previous.id,
      address: previous.address,
      old_born_ms: previous.startedAtMs,
      new_born_ms: startedAtMs,
      found_by: source,
    });
    this.listener?.onChanged();
    if (!mayProveRestart) return;
    // An earlier start time doesn't prove that the known incarnation has ended.
    if (startedAtMs === undefined || !isLaterIncarnation(startedAtMs, previous.startedAtMs)) return;
    this.listener?.onRestarted({ previous, startedAtMs });
  }
}
