/** What an experiment compares: ways to choose an engine. */
import type { EngineCore } from '../engine/engine-core.js';
import type { PlacedRequest } from './placed-request.js';

/** One way to choose an engine. */
export interface Policy {
  readonly name: string;
  /** The engine for a request, among those that serve its model. */
  choose(request: PlacedRequest, engines: readonly EngineCore[], nowMs: number): EngineCore;
  /** The engine has computed the prompt and says how much it had kept. */
  onStart(request: PlacedRequest, engine: EngineCore, cachedTokens: number, nowMs: number): void;
  /** News of the engines: called a few times a second. */
  refresh(nowMs: number): void;
}
