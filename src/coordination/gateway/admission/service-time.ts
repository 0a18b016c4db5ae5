/** Learned time that an engine without a KV cache takes for one request. */

/** Weight of the latest response. */
const SMOOTHING_FACTOR = 0.1;

/** Moving average of the service time, without the wait in the engine's queue. */
export class ServiceTime {
  private meanMs: number | undefined;

  /** In milliseconds; undefined before the first response. */
  get ms(): number | undefined {
    return this.meanMs;
  }

  /**
   * Records a response.
   *
   * @param tookMs from the send to the end, in milliseconds
   * @param requests at the engine when the request was sent, itself included
   */
  record(tookMs: number, requests: number, slots: number): void {
    // A request behind a full round of others waits for one more service time.
    const rounds = Math.max(1, requests / Math.max(1, slots));
    const sampleMs = tookMs / rounds;
    const meanMs = this.meanMs ?? sampleMs;
    this.meanMs = meanMs + SMOOTHING_FACTOR * (sampleMs - meanMs);
  }
}
