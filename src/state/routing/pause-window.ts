/** Estimates the pause between two events of an engine's streams from recent samples. Pure. */

/** Pauses that a router measured at one engine. */
export interface PauseSample {
  readonly atMs: number;
  readonly pauseMs: number;
  /** Number of pauses that the sample stands for. */
  readonly weight: number;
}

/** Estimated pause and its evidence. */
export interface PauseEstimate {
  readonly pauseMs: number;
  readonly weight: number;
  /** Time of the latest sample. */
  readonly observedMs: number;
  /** Time of the earliest sample that was used. */
  readonly earliestMs: number;
}

/**
 * Samples of this period decide. It is longer than a typical noise of 600 ms, which then leaves
 * samples at full speed, and short enough to detect a lasting slowdown within a second.
 */
export const WINDOW_MS = 750;
/** With fewer pauses in the window, older samples are used as well. */
const MINIMUM_WEIGHT = 2;
/** Samples that cover less time may all fall into one noisy period. */
const MINIMUM_SPAN_MS = 600;
const MAXIMUM_AGE_MS = 3_000;
const MAXIMUM_SAMPLES = 64;
/**
 * Share of the observed time in pauses that are no longer than the estimate. It is low because most
 * pauses at an engine that prefills other prompts are lengthened. Pauses count by their duration, so
 * that a slow engine, which has fewer, is detected as soon as a fast one, and a few false samples
 * that are too short hardly count.
 */
const LOW_QUANTILE = 0.1;

/** Samples of one engine, bounded by number and age. */
export class PauseWindow {
  private samples: PauseSample[] = [];

  /** Adds a sample; one that arrives late is sorted in. */
  add(sample: PauseSample): void {
    const { samples } = this;
    let index = samples.length;
    while (index > 0 && (samples[index - 1] as PauseSample).atMs > sample.atMs) index -= 1;
    samples.splice(index, 0, sample);
    if (samples.length > MAXIMUM_SAMPLES) samples.shift();
  }

  /** The samples that are not too old, in order of time. */
  recent(nowMs: number): readonly PauseSample[] {
    const isOld = ({ atMs }: PauseSample): boolean => nowMs - atMs > MAXIMUM_AGE_MS;
    if (this.samples[0] && isOld(this.samples[0])) {
      this.samples = this.samples.filter((sample) => !isOld(sample));
    }
    return this.samples;
  }
}

/** Estimates the pause at full speed; undefined if the samples are too few or cover too little. */
export function estimatePause(
  samples: readonly PauseSample[],
  nowMs: number,
): PauseEstimate | undefined {
  const newestFirst = samples.toSorted((left, right) => right.atMs - left.atMs);
  const used: PauseSample[] = [];
  let weight = 0;
  let spanMs = 0;
  for (const sample of newestFirst) {
    const isInWindow = nowMs - sample.atMs <= WINDOW_MS;
    if (!isInWindow && weight >= MINIMUM_WEIGHT && spanMs >= MINIMUM_SPAN_MS) break;
    used.push(sample);
    weight += sample.weight;
    spanMs = (used[0] as PauseSample).atMs - sample.atMs + sample.pauseMs;
  }
  if (weight < MINIMUM_WEIGHT || spanMs < MINIMUM_SPAN_MS) return undefined;
  const observedMs = (used[0] as PauseSample).atMs;
  const earliestMs = (used.at(-1) as PauseSample).atMs;
  return { pauseMs: lowQuantile(used), weight, observedMs, earliestMs };
}

function lowQuantile(samples: PauseSample[]): number {
  samples.sort((left, right) => left.pauseMs - right.pauseMs);
  const totalMs = samples.reduce((sum, sample) => sum + observedTimeOf(sample), 0);
  let coveredMs = 0;
  for (const sample of samples) {
    coveredMs += observedTimeOf(sample);
    if (coveredMs >= totalMs * LOW_QUANTILE) return sample.pauseMs;
  }
  return (samples.at(-1) as PauseSample).pauseMs;
}

function observedTimeOf({ weight, pauseMs }: PauseSample): number {
  return weight * pauseMs;
}
