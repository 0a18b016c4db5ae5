/** Speed of each engine, by which placements estimate its waiting and response times. Pure. */

/** What an engine does in a given time. */
export interface EngineSpeed {
  /** Prompt tokens that the engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Time between two tokens of a stream with few others beside it, in milliseconds. */
  readonly tokenMs: number;
  /** Additional time to the first token for each running request, in milliseconds. */
  readonly runningRequestMs: number;
}

/** Assumed until responses of an engine or of its service were observed. */
export const DEFAULT_ENGINE_SPEED: EngineSpeed = {
  prefillTokensPerMs: 40,
  tokenMs: 6,
  runningRequestMs: 1,
};

/** Read access to the speeds, for placements. */
export interface EngineSpeedView {
  /** Speed of an engine incarnation; the default if nothing is known of it. */
  at(engineId: string): EngineSpeed;
}

/** Speeds while nothing is observed. */
export const DEFAULT_ENGINE_SPEEDS: EngineSpeedView = { at: () => DEFAULT_ENGINE_SPEED };

/** Bounds of {@link slownessOf}, so that one wrong belief does not reject all work of an engine. */
const MAXIMUM_SLOWNESS = 4;

/** Time that an engine takes for a token of a stream, relative to the default speed. */
export function slownessOf({ tokenMs }: EngineSpeed): number {
  const slowness = tokenMs / DEFAULT_ENGINE_SPEED.tokenMs;
  return Math.min(MAXIMUM_SLOWNESS, Math.max(1 / MAXIMUM_SLOWNESS, slowness));
}
