/**
 * Notices that an engine has started again under its name, whichever source shows it first: its entry, one
 * of its answers, another router's news. What is remembered of the former life ends with that.
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

/** What showed a new life. */
export type IncarnationSource = 'entry' | 'report' | 'order' | 'cache-events' | 'router';

/** An engine has started again: what ended, and when the new life began. */
export interface EngineRestart {
  readonly former: EngineRecord;
  /** Unix milliseconds by the engine's clock. */
  readonly bornMs: number;
}

/** Receives what this finds out. */
export interface IncarnationListener {
  /** One life has taken the place of another in the list. */
  onChanged(): void;
  /** A life that began before the present one is over. */
  onRestarted(rebirth: EngineRestart): void;
}

/** The lives of all engines, as one router hears of them. */
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

  /** Takes an engine's entry; entries come in the store's order. */
  takeEntry(record: EngineRecord): PutOutcome {
    const outcome = this.registry.put(record);
    if (outcome.kind === 'reborn') this.noteRebirth(outcome.former, record.bornMs, 'entry');
    return outcome;
  }

  /**
   * An answer of an engine states its start; false where the answer is of another life than the one that
   * was asked, so that nothing of it may be taken for that one.
   */
  takeAnswer({ id }: EngineRecord, bornMs: number | undefined, source: IncarnationSource): boolean {
    return this.takeAnswerOf(id, bornMs, source);
  }

  /** As {@link takeAnswer}, for a life that is known by its identity only. */
  takeAnswerOf(
    incarnation: string,
    bornMs: number | undefined,
    source: IncarnationSource,
  ): boolean {
    if (!isDifferentIncarnation(bornMs, parseIncarnation(incarnation).bornMs)) return true;
    if (bornMs === undefined) return false;
    const former = this.registry.noteAnswer(incarnation, bornMs);
    if (former) this.noteRebirth(former, bornMs, source);
    return false;
  }

  /** Another router speaks of an incarnation that is not in the list: it may be a later life of one that is. */
  noteIncarnation(incarnation: string): void {
    const { name, bornMs } = parseIncarnation(incarnation);
    if (bornMs === undefined) return;
    const former = this.registry.noteHearsay(name, bornMs);
    if (former) this.noteRebirth(former, bornMs, 'router');
  }

  private noteRebirth(
    former: EngineRecord,
    bornMs: number | undefined,
    source: IncarnationSource,
  ): void {
    this.statistics.enginesReborn += 1;
    this.logger.warn('engine_reborn', {
      engine: former.id,
      address: former.address,
      old_born_ms: former.bornMs,
      new_born_ms: bornMs,
      found_by: source,
    });
    this.listener?.onChanged();
    // An earlier start is no proof that the life which was known is over: its connections show that.
    if (bornMs === undefined || !isLaterIncarnation(bornMs, former.bornMs)) return;
    this.listener?.onRestarted({ former, bornMs });
  }
}
