/**
 * Estimates when a generation will finish, from recent responses for the same model: the ratio of
 * measured to expected time to first token, and the pace of the response chunks. The pace is taken
 * from running streams, because finished ones reflect an earlier load. Pure.
 */

/** Observation of one response, from send to end. Times in milliseconds. */
export interface FinishSample {
  /** Time to first token expected by the placement. */
  readonly expectedMs: number;
  readonly firstTokenMs: number;
  /** Chunks in the response. */
  readonly chunkCount: number;
  /** Output tokens allowed by the caller. */
  readonly outputTokens: number;
}

/** What an estimate is made from, for the log. */
export interface FinishEstimateInputs {
  /** Time since the last response, in milliseconds. */
  readonly ageMs: number;
  /** Measured time to first token divided by the expected time. */
  readonly firstTokenRatio: number;
  /** Pause between two chunks at an engine of the default speed; undefined before the first. */
  readonly pauseMs: number | undefined;
}

/** Weight of the latest response in the moving averages. */
const SMOOTHING_FACTOR = 0.06;
/** Weight of the latest pause between two chunks, of which there are many per second. */
const PAUSE_SMOOTHING_FACTOR = 0.01;
/** Ratios for a shorter expected time are too noisy. */
const MINIMUM_EXPECTED_MS = 150;
/** Minimum responses before an estimate is available. */
const MINIMUM_SAMPLES = 20;
/** Estimates expire this long after the last response. */
const SAMPLE_LIFETIME_MS = 4_000;

interface ModelEstimate {
  samples: number;
  updatedAtMs: number;
  /** Measured time to first token divided by the expected time. */
  firstTokenRatio: number;
  /** Chunks in a response per output token allowed by the caller. */
  chunksPerToken: number;
  /**
   * Pause between two chunks of a stream at an engine of the default speed, in milliseconds;
   * undefined before the first.
   */
  pauseMs: number | undefined;
}

/** Finish estimates by model. */
export class FinishEstimate {
  private readonly models = new Map<string, ModelEstimate>();

  /**
   * Records the pause between two chunks of a stream.
   *
   * @param slowness time that the engine takes for a token, relative to the default
   */
  notePause(model: string, measuredMs: number, slowness = 1): void {
    const estimate = this.models.get(model);
    if (!estimate) return;
    const pauseMs = measuredMs / slowness;
    estimate.pauseMs = movingAverage(estimate.pauseMs ?? pauseMs, pauseMs, PAUSE_SMOOTHING_FACTOR);
  }

  /** Records the end of a response. */
  noteEnd(model: string, sample: FinishSample, nowMs: number): void {
    const ratio = sample.firstTokenMs / Math.max(MINIMUM_EXPECTED_MS, sample.expectedMs);
    const chunksPerToken = sample.chunkCount / Math.max(1, sample.outputTokens);
    const estimate = this.models.get(model);
    if (!estimate) {
      const initial = { samples: 1, updatedAtMs: nowMs, firstTokenRatio: ratio, chunksPerToken };
      this.models.set(model, { ...initial, pauseMs: undefined });
      return;
    }
    estimate.samples += 1;
    estimate.updatedAtMs = nowMs;
    estimate.chunksPerToken = movingAverage(
      estimate.chunksPerToken,
      chunksPerToken,
      SMOOTHING_FACTOR,
    );
    if (sample.expectedMs < MINIMUM_EXPECTED_MS) return;
    estimate.firstTokenRatio = movingAverage(estimate.firstTokenRatio, ratio, SMOOTHING_FACTOR);
  }

  /**
   * Estimated time from send to the last token, in milliseconds; undefined without enough samples.
   *
   * @param slowness time that the chosen engine takes for a token, relative to the default
   */
  finishMs(
    model: string,
    expectedMs: number,
    outputTokens: number,
    nowMs: number,
    slowness = 1,
  ): number | undefined {
    const estimate = this.models.get(model);
    if (!estimate || estimate.samples < MINIMUM_SAMPLES) return undefined;
    if (nowMs - estimate.updatedAtMs > SAMPLE_LIFETIME_MS) return undefined;
    const streamingMs = outputTokens * estimate.chunksPerToken * (estimate.pauseMs ?? 0) * slowness;
    return expectedMs * estimate.firstTokenRatio + streamingMs;
  }

  /** The inputs of the estimates for a model; undefined before its first response. */
  inputsOf(model: string, nowMs: number): FinishEstimateInputs | undefined {
    const estimate = this.models.get(model);
    if (!estimate) return undefined;
    const { updatedAtMs, firstTokenRatio, pauseMs } = estimate;
    return { ageMs: nowMs - updatedAtMs, firstTokenRatio, pauseMs };
  }
}

/** Exponential moving average. */
function movingAverage(mean: number, sample: number, weight: number): number {
  return mean + weight * (sample - mean);
}
