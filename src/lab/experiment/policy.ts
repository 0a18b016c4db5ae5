/** Interface of the engine selection policies that an experiment compares. */
import type { EngineCore } from '../engine/engine-core.js';
import type { HashedRequest } from './hashed-request.js';

/** An engine selection policy. */
export interface Policy {
  readonly name: string;
  /** Chooses an engine for a request among those that serve its model. */
  choose(request: HashedRequest, engines: readonly EngineCore[], nowMs: number): EngineCore;
  /** Called when an engine has processed the prompt and reports its number of cached tokens. */
  onStart(request: HashedRequest, engine: EngineCore, cachedTokens: number, nowMs: number): void;
  /** Reads new cache events and load reports of the engines. Called periodically. */
  refresh(nowMs: number): void;
}
