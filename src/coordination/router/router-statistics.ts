/** Counters of one router, exposed as metrics. */

/** Totals since the start of the router. */
export interface RouterStatistics {
  requests: number;
  finished: number;
  failed: number;
  /** Attempts sent to back ends. */
  attempts: number;
  retries: number;
  /** Streams continued on another engine. */
  continuations: number;
  /** Streams resumed after another router was lost. */
  reattachments: number;
  promptTokens: number;
  cachedTokens: number;
  chunks: number;
  /** Responses dropped because they belong to abandoned attempts. */
  lateAnswers: number;
}

/** Creates statistics with all counters at zero. */
export function createRouterStatistics(): RouterStatistics {
  return {
    requests: 0,
    finished: 0,
    failed: 0,
    attempts: 0,
    retries: 0,
    continuations: 0,
    reattachments: 0,
    promptTokens: 0,
    cachedTokens: 0,
    chunks: 0,
    lateAnswers: 0,
  };
}
