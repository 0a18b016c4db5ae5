/** Settings of the fake engine. */

/** Identity, speed, capacity and injected faults of a fake engine. */
export interface EngineModelSettings {
  readonly engineId: string;
  model: string;
  weightsDigest: string;
  adapterDigest: string;
  /** Prompt tokens computed per second. */
  readonly prefillTokensPerSecond: number;
  /** Maximum number of prompt tokens computed in one step. */
  readonly prefillChunkTokens: number;
  /** Duration of a step that only decodes. */
  readonly decodeStepMs: number;
  /** Maximum number of requests in the batch. */
  readonly maximumRunning: number;
  /** Maximum number of waiting requests; further ones are rejected. */
  readonly maximumWaiting: number;
  readonly cacheBlocks: number;
  /** Maximum age of the load report in a status. */
  readonly loadLagMs: number;
  readonly eventDelayMs: number;
  readonly eventLossChance: number;
  /** Time for which a finished or cancelled stream can be resumed. */
  readonly streamRetentionMs: number;
}

/** Default settings; callers override single fields. */
export const DEFAULT_ENGINE_SETTINGS: EngineModelSettings = {
  engineId: 'engine',
  model: 'model',
  weightsDigest: 'weights',
  adapterDigest: '',
  prefillTokensPerSecond: 20_000,
  prefillChunkTokens: 2_048,
  decodeStepMs: 15,
  maximumRunning: 32,
  maximumWaiting: 256,
  cacheBlocks: 20_000,
  loadLagMs: 300,
  eventDelayMs: 150,
  eventLossChance: 0.001,
  streamRetentionMs: 20_000,
};
