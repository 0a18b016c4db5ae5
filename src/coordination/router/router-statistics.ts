/** Counters of one router, read by its metrics page. */

/** Totals since the router's start. */
export interface RouterStatistics {
  requests: number;
  finished: number;
  failed: number;
  /** Attempts sent to back ends. */
  attempts: number;
  retries: number;
  /** Streams taken up at another engine. */
  continuations: number;
  /** Streams taken up after another router was lost. */
  reattachments: number;
  promptTokens: number;
  cachedTokens: number;
  chunks: number;
  /** Answers of attempts given up, dropped. */
  lateAnswers: number;
}

/** All counters at zero. */
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
