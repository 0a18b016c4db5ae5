/**
 * When a generation would be finished, as learnt from the answers of its model's engines: the time to the
 * first token against what the placement expected, and the pace of the tokens after it. The pace is taken
 * from the streams that run, since those that have ended show how it was when they began. Pure.
 */

/** What one answer showed, from its send to its end. Times in milliseconds. */
export interface FinishSample {
  /** What the placement expected of waiting and reading. */
  readonly expectedMs: number;
  readonly firstTokenMs: number;
  /** Pieces of the answer that came. */
  readonly pieces: number;
  /** Tokens that the caller allowed. */
  readonly outputTokens: number;
}

/** Weight of the newest answer in the moving means; some thirty answers show how it is now. */
const NEWEST_WEIGHT = 0.06;
/** Weight of the newest pause between two pieces; many come in a second. */
const NEWEST_PAUSE_WEIGHT = 0.01;
/** A short expectation says little about the share by which it is wrong. */
const SHORTEST_EXPECTED_MS = 150;
/** Before this many answers nothing is known. */
const SAMPLES_NEEDED = 20;
/** What was learnt longer ago says nothing about the present load. */
const LIFETIME_MS = 4_000;

interface ModelRecord {
  samples: number;
  learntMs: number;
  /** First token against the expectation. */
  firstTokenRatio: number;
  /** Pieces of an answer for each token that the caller allows. */
  piecesPerToken: number;
  /** Pause between two pieces of a stream, in milliseconds; undefined before the first. */
  pauseMs: number | undefined;
}

/** Estimates by model. */
export class FinishEstimate {
  private readonly models = new Map<string, ModelRecord>();

  /** Two pieces of a stream came with this pause between them. */
  notePause(model: string, pauseMs: number): void {
    const record = this.models.get(model);
    if (!record) return;
    record.pauseMs = mix(record.pauseMs ?? pauseMs, pauseMs, NEWEST_PAUSE_WEIGHT);
  }

  /** An answer has come to its end. */
  noteEnd(model: string, sample: FinishSample, nowMs: number): void {
    const ratio = sample.firstTokenMs / Math.max(SHORTEST_EXPECTED_MS, sample.expectedMs);
    const piecesPerToken = sample.pieces / Math.max(1, sample.outputTokens);
    const record = this.models.get(model);
    if (!record) {
      const learnt = { samples: 1, learntMs: nowMs, firstTokenRatio: ratio, piecesPerToken };
      this.models.set(model, { ...learnt, pauseMs: undefined });
      return;
    }
    record.samples += 1;
    record.learntMs = nowMs;
    record.piecesPerToken = mix(record.piecesPerToken, piecesPerToken, NEWEST_WEIGHT);
    if (sample.expectedMs < SHORTEST_EXPECTED_MS) return;
    record.firstTokenRatio = mix(record.firstTokenRatio, ratio, NEWEST_WEIGHT);
  }

  /** Time from the send to the last token, in milliseconds; undefined where too little is known. */
  finishMs(
    model: string,
    expectedMs: number,
    outputTokens: number,
    nowMs: number,
  ): number | undefined {
    const record = this.models.get(model);
    if (!record || record.samples < SAMPLES_NEEDED) return undefined;
    if (nowMs - record.learntMs > LIFETIME_MS) return undefined;
    const streamingMs = outputTokens * record.piecesPerToken * (record.pauseMs ?? 0);
    return expectedMs * record.firstTokenRatio + streamingMs;
  }
}

/** Moves a mean towards the newest value. */
function mix(mean: number, newest: number, weight: number): number {
  return mean + weight * (newest - mean);
}
