/**
 * Judges the trials of a subject in provisional quarantine: whether its crashes prove that it is the
 * cause. An engine that crashes during a trial may have failed together with others for another reason.
 * Pure; times are monotonic, in milliseconds.
 */
import type { CrashedRuns } from './crash-evidence.js';
import type { TrialRecord } from './quarantine-trials.js';

/** A copy that was sent this long before a trial was announced may be the trial. */
export const TRIAL_SLACK_MS = 100;
/**
 * An engine that crashes during a trial within this time of another one, at which the subject was not
 * running, may have failed with that one.
 */
export const COMPANION_WINDOW_MS = 300;
/** Crashes during trials that are proof even if other engines crashed at the same time. */
const MAXIMUM_FAILED_TRIALS = 2;
/** Incarnations that have crashed leave the engine list within seconds. */
const MAXIMUM_ENGINES = 1_024;

/** When each engine crashed that one router knows of, whatever was running there. */
export class EngineCrashTimes {
  private readonly crashedMs = new Map<string, number>();

  record(engineId: string, atMs: number): void {
    if (this.crashedMs.has(engineId)) return;
    if (this.crashedMs.size >= MAXIMUM_ENGINES) this.crashedMs.clear();
    this.crashedMs.set(engineId, atMs);
  }

  /** Whether an engine without a run of the subject crashed at about that time. */
  hasCompanion(runs: CrashedRuns, atMs: number): boolean {
    for (const [engineId, otherMs] of this.crashedMs) {
      if (Math.abs(otherMs - atMs) <= COMPANION_WINDOW_MS && !runs.has(engineId)) return true;
    }
    return false;
  }
}

/** Whether crashes during trials prove that the subject causes them. */
export function haveTrialsFailed(
  runs: CrashedRuns,
  trials: TrialRecord | undefined,
  engineCrashes: EngineCrashTimes,
  nowMs: number,
): boolean {
  if (!trials) return false;
  const failed = [...runs.values()].filter(
    ({ sentMs }) => sentMs >= trials.firstMs - TRIAL_SLACK_MS,
  );
  if (failed.length >= MAXIMUM_FAILED_TRIALS) return true;
  return failed.some(
    ({ crashedMs }) =>
      nowMs - crashedMs >= COMPANION_WINDOW_MS && !engineCrashes.hasCompanion(runs, crashedMs),
  );
}
