/** The record of one life of an engine: its entry in the store, or what stands for it until that comes. */

/** What an engine states of itself. */
export interface EngineRecord {
  /** Incarnation, by `incarnationOf`: the key of all that is remembered of one life. */
  readonly id: string;
  /** The platform's identifier, under which the engine is listed and knows itself in every life. */
  readonly name: string;
  /** Start of this life in Unix milliseconds; undefined where the entry does not state it. */
  readonly bornMs: number | undefined;
  readonly service: string;
  /** HOST:PORT; may have belonged to another engine before. */
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Version of the weights by model. */
  readonly modelVersions: ReadonlyMap<string, number>;
}
