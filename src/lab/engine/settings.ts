/** Parameters and faults of the stand-in engine. */

/** Speeds and sizes of a stand-in engine. */
export interface EngineModelSettings {
  readonly engineId: string;
  model: string;
  weightsDigest: string;
  adapterDigest: string;
  /** Prompt tokens computed a second. */
  readonly prefillTokensPerSecond: number;
  /** Prompt tokens computed at most in one step. */
  readonly prefillChunkTokens: number;
  /** Length of a step that only decodes. */
  readonly decodeStepMs: number;
  /** Requests in the batch at most. */
  readonly maximumRunning: number;
  /** Requests waiting at most; more are refused. */
  readonly maximumWaiting: number;
  readonly cacheBlocks: number;
  /** Age of the load that a status shows. */
  readonly loadLagMs: number;
  readonly eventDelayMs: number;
  readonly eventLossChance: number;
  /** How long a finished or abandoned stream can be resumed. */
  readonly streamRetentionMs: number;
}

/** Settings of a middling engine; examples override them. */
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
