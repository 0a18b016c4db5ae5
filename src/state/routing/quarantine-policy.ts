/** When a request or prompt part counts as the cause of crashes. */

/** When a subject is quarantined, and when that is final. */
export interface QuarantinePolicy {
  /** Number of crashes, of different engines, after which a subject is quarantined. */
  readonly crashes: number;
  /**
   * Crashes within this time of each other count as one, in milliseconds: engines that fail
   * together have another cause.
   */
  readonly mergedWithinMs: number;
  /**
   * Crashes within this time of each other, in milliseconds, prove nothing without a trial: routers may
   * not have told each other yet which copies were in progress.
   */
  readonly unprovenWithinMs: number;
  /** Whether a crash during a quarantined subject is evidence against no other one. */
  readonly hasSingleCause: boolean;
  /**
   * Whether a subject is quarantined after that number of crashes also if these count as fewer: for the
   * time being, until a trial shows whether it is the cause.
   */
  readonly hasTrials: boolean;
}

/**
 * High enough that independent crashes do not quarantine a request: of 3,787 requests of a day on
 * which 11 engines crashed, one was running at two of them and none at three.
 */
export const DEFAULT_REQUEST_QUARANTINE_POLICY: QuarantinePolicy = {
  crashes: 3,
  mergedWithinMs: 0,
  unprovenWithinMs: 500,
  hasSingleCause: false,
  hasTrials: true,
};

/**
 * For prompt parts. A part is in many requests, so it is at more crashes by chance than a request,
 * and sound parts come with the one that crashes engines.
 */
export const DEFAULT_PART_QUARANTINE_POLICY: QuarantinePolicy = {
  crashes: 4,
  mergedWithinMs: 300,
  unprovenWithinMs: 0,
  hasSingleCause: true,
  hasTrials: false,
};
