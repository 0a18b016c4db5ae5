/** Chooses the engine speeds that a collector sends to all routers. */
import { memberKey } from '../../state/member-key.js';
import type {
  EngineSpeedTable,
  KnownEngine,
  SpeedBelief,
} from '../../state/routing/engine-speed-table.js';
import type { EngineSpeedEntry } from './observation-exchange.js';

/** A smaller change of the pause waits for the next refresh. */
const CHANGE_RATIO = 1.15;
/** Values with newer observations are sent again after this time, in case a datagram was lost. */
const REFRESH_MS = 5_000;
/** Slow engines expire sooner at the receivers. */
const SLOW_REFRESH_MS = 2_000;
/** Routers that start together are answered together. */
const RESTART_PERIOD_MS = 1_000;
/** Order of values to send: never sent, changed, then by the time since they were sent. */
const UNSENT_URGENCY = Number.MAX_VALUE;
const CHANGED_URGENCY = Number.MAX_VALUE / 2;

interface SentSpeed {
  readonly belief: SpeedBelief;
  readonly sentMs: number;
}

/** An engine whose speed is to be sent. */
interface DueSpeed {
  readonly engine: KnownEngine;
  readonly belief: SpeedBelief;
  readonly urgency: number;
}

/** Summaries of one collector. */
export class SpeedSummary {
  private readonly sent = new Map<string, SentSpeed>();
  private restartedMs = -Infinity;

  constructor(private readonly table: EngineSpeedTable) {}

  /** Sends all values again, since a router knows none. */
  restart(nowMs: number): void {
    if (nowMs - this.restartedMs < RESTART_PERIOD_MS) return;
    this.restartedMs = nowMs;
    this.sent.clear();
  }

  /** Returns the entries of the next summary: changed values first, then those sent longest ago. */
  take(listed: readonly KnownEngine[], limit: number, nowMs: number): EngineSpeedEntry[] {
    this.forget(listed);
    const due = listed.flatMap((engine) => this.dueSpeed(engine, nowMs) ?? []);
    due.sort((left, right) => right.urgency - left.urgency);
    return due.slice(0, limit).map(({ engine, belief }) => {
      this.sent.set(engine.id, { belief, sentMs: nowMs });
      return this.entryOf(engine, belief, nowMs);
    });
  }

  private dueSpeed(engine: KnownEngine, nowMs: number): DueSpeed | undefined {
    const belief = this.table.beliefOf(engine.id);
    if (!belief) return undefined;
    const sent = this.sent.get(engine.id);
    if (!sent) return { engine, belief, urgency: UNSENT_URGENCY };
    if (sent.belief.observedMs >= belief.observedMs) return undefined;
    const ratio = belief.eventMs / sent.belief.eventMs;
    if (ratio > CHANGE_RATIO || ratio < 1 / CHANGE_RATIO) {
      return { engine, belief, urgency: CHANGED_URGENCY };
    }
    const waitedMs = nowMs - sent.sentMs;
    const refreshMs = this.table.isSlow(engine.id) ? SLOW_REFRESH_MS : REFRESH_MS;
    return waitedMs < refreshMs ? undefined : { engine, belief, urgency: waitedMs };
  }

  private entryOf(engine: KnownEngine, belief: SpeedBelief, nowMs: number): EngineSpeedEntry {
    return {
      engineKey: memberKey(engine.id),
      weight: 1,
      prefillTokensPerMs: this.table.learnedPrefillOf(engine.id, nowMs) ?? 0,
      ageMs: Math.max(0, Math.round(nowMs - belief.observedMs)),
      eventMs: belief.eventMs,
    };
  }

  private forget(listed: readonly KnownEngine[]): void {
    if (this.sent.size <= listed.length) return;
    const ids = new Set(listed.map(({ id }) => id));
    for (const id of this.sent.keys()) if (!ids.has(id)) this.sent.delete(id);
  }
}
