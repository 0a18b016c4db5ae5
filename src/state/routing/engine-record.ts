/**
 * Record of one incarnation of an engine, from its store entry or inferred until that is received.
 */

/** State published by an engine. */
export interface EngineRecord {
  /** Incarnation identifier from `incarnationOf`; key of all state about this incarnation. */
  readonly id: string;
  /** Platform identifier under which the engine is listed; unchanged by restarts. */
  readonly name: string;
  /** Start time of this incarnation in Unix milliseconds; undefined if not stated. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** HOST:PORT; may have belonged to another engine before. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Version of the engine's software; undefined if not stated, or not known of an incarnation yet. */
  readonly build?: string | undefined;
  /** Version of the weights by model. */
  readonly modelVersions: ReadonlyMap<string, number>;
}
