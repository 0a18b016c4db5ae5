/**
 * Limits that engines name in their answers: the requests a second that one takes from all routers together, for as
 * long as its answers say so. Kept by the engine's name and apart from the list of engines, as pauses are. Pure.
 */
import { memberKey } from '../member-key.js';
import { SendTurns, type TurnView } from './send-turns.js';

/** Number of keys that {@link memberKey} may give. */
const KEYS = 2 ** 32;

/** A limit in force, as far as this router knows. */
interface KnownLimit {
  /** Undefined: the engine has lifted its limit. */
  readonly perSecond: number | undefined;
  /** The engine said so no earlier than this. */
  readonly asOfMs: number;
}

/** The limits of all engines. */
export class EngineLimits {
  private readonly known = new Map<string, KnownLimit>();
  private readonly turns = new Map<string, SendTurns>();

  /**
   * An answer that has just come names a limit.
   *
   * @returns true where this changes what was known
   */
  noteNamed(engineName: string, perSecond: number, nowMs: number): boolean {
    return this.note(engineName, { perSecond, asOfMs: nowMs });
  }

  /**
   * An engine answered without naming a limit. Answers overtake one another, so this counts only where the request
   * was sent after the last answer with a limit came.
   *
   * @param sentMs when the request was sent
   * @returns true where this lifts a limit
   */
  noteUnnamed(engineName: string, sentMs: number): boolean {
    const present = this.known.get(engineName);
    if (present?.perSecond === undefined || sentMs <= present.asOfMs) return false;
    return this.note(engineName, { perSecond: undefined, asOfMs: sentMs });
  }

  /** Requests a second; undefined where the engine has named no limit, or lifted it. */
  perSecond(engineName: string): number | undefined {
    return this.known.get(engineName)?.perSecond;
  }

  /** Whether this router may send the engine a request now. */
  maySend(engineName: string, view: TurnView): boolean {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined || this.turnsOf(engineName).isDue(perSecond, view);
  }

  /** Time until this router may send the engine a request, in milliseconds; 0 where it may now. */
  waitMs(engineName: string, view: TurnView): number {
    const perSecond = this.perSecond(engineName);
    return perSecond === undefined ? 0 : this.turnsOf(engineName).waitMs(perSecond, view);
  }

  /** This router sends the engine a request. */
  noteSend(engineName: string, view: TurnView): void {
    const perSecond = this.perSecond(engineName);
    if (perSecond !== undefined) this.turnsOf(engineName).use(perSecond, view);
  }

  private turnsOf(engineName: string): SendTurns {
    let turns = this.turns.get(engineName);
    if (!turns) {
      turns = new SendTurns(memberKey(engineName) / KEYS);
      this.turns.set(engineName, turns);
    }
    return turns;
  }

  private note(engineName: string, limit: KnownLimit): boolean {
    const before = this.perSecond(engineName);
    this.known.set(engineName, limit);
    if (limit.perSecond === undefined) this.turns.delete(engineName);
    return before !== limit.perSecond;
  }
}
