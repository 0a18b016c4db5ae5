/** Tracks the load commands that a router has sent recently. Pure. */
import type { WeightLoadAnnouncement } from './weight-load-announcements.js';

/** A load command to one engine. */
export interface LoadCommand {
  readonly model: string;
  readonly version: number;
  readonly sentMs: number;
  /** When the engine was observed to have the weights; undefined before. */
  completedMs: number | undefined;
  /** When the command is dropped and no longer announced. */
  expiresMs: number;
}

/** A command without an effect within this time may be sent again. */
const COMMAND_TIMEOUT_MS = 4_000;
/** Delay after the first refusal of an engine; doubles with each further one. */
const INITIAL_RETRY_DELAY_MS = 400;
const MAXIMUM_RETRY_DELAY_MS = 3_200;
const ANNOUNCEMENT_LIFETIME_MS = 2_500;
/** Interval at which a load in progress is announced again. */
const REANNOUNCEMENT_PERIOD_MS = 1_000;
/** Lower bound for the duration of a load. */
const MINIMUM_LOAD_MS = 400;
/** An engine is polled first after this share of the fastest load observed. */
const FIRST_POLL_SHARE = 0.9;

/** Consecutive commands that an engine has refused. */
interface Refusals {
  count: number;
  untilMs: number;
}

/** Load commands, by incarnation of the engine. */
export class LoadCommands {
  private readonly commands = new Map<string, LoadCommand>();
  private readonly refusals = new Map<string, Refusals>();
  private fastestLoadMs = 0;

  /** Adds a command that is sent to an engine. */
  add(engineId: string, model: string, version: number, nowMs: number): void {
    const expiresMs = nowMs + COMMAND_TIMEOUT_MS;
    const state = { completedMs: undefined, expiresMs };
    this.commands.set(engineId, { model, version, sentMs: nowMs, ...state });
  }

  /** Whether a command to an engine is in progress; undefined without a command. */
  isLoading(engineId: string): boolean | undefined {
    const command = this.commands.get(engineId);
    return command && command.completedMs === undefined;
  }

  /** Drops a command that the engine refused and delays the next one. */
  recordRefusal(engineId: string, nowMs: number): void {
    this.commands.delete(engineId);
    const count = (this.refusals.get(engineId)?.count ?? 0) + 1;
    const delayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (count - 1));
    this.refusals.set(engineId, { count, untilMs: nowMs + delayMs });
  }

  /** Whether commands to an engine are delayed because it refused the last one. */
  isPaused(engineId: string, nowMs: number): boolean {
    return nowMs < (this.refusals.get(engineId)?.untilMs ?? -Infinity);
  }

  /** Marks a load as completed and returns its duration; undefined if there is none in progress. */
  complete(engineId: string, nowMs: number): number | undefined {
    const command = this.commands.get(engineId);
    this.refusals.delete(engineId);
    if (!command || command.completedMs !== undefined) return undefined;
    command.completedMs = nowMs;
    command.expiresMs = nowMs + ANNOUNCEMENT_LIFETIME_MS;
    const durationMs = nowMs - command.sentMs;
    const isFastest = this.fastestLoadMs === 0 || durationMs < this.fastestLoadMs;
    if (durationMs >= MINIMUM_LOAD_MS && isFastest) this.fastestLoadMs = durationMs;
    return durationMs;
  }

  /** Drops the state of an engine that no longer exists. */
  remove(engineId: string): void {
    this.commands.delete(engineId);
    this.refusals.delete(engineId);
  }

  /** Drops commands that are no longer announced. */
  expire(nowMs: number): void {
    for (const [engineId, command] of this.commands) {
      if (nowMs >= command.expiresMs) this.commands.delete(engineId);
    }
  }

  /** Commands in progress whose engines may have loaded the weights by now. */
  dueForPolling(nowMs: number): [engineId: string, command: LoadCommand][] {
    const firstPollMs = Math.max(MINIMUM_LOAD_MS, this.fastestLoadMs * FIRST_POLL_SHARE);
    return [...this.commands].filter(
      ([, { completedMs, sentMs }]) => completedMs === undefined && nowMs - sentMs >= firstPollMs,
    );
  }

  /** Announcements for the other routers. */
  announcements(nowMs: number): WeightLoadAnnouncement[] {
    return [...this.commands].map(([engineId, { model, version, sentMs, completedMs }]) => {
      const observedMs = completedMs ?? nowMs - ((nowMs - sentMs) % REANNOUNCEMENT_PERIOD_MS);
      const ageMs = Math.round(nowMs - observedMs);
      return { engineId, model, version, isLoading: completedMs === undefined, ageMs };
    });
  }
}
