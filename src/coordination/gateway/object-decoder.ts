/** The port that turns stored objects into the product's own values. */
import type { RoutingConfiguration } from '../../state/routing/configuration.js';
import type { EngineRecord } from '../../state/routing/engine-registry.js';
import type { StoredObject } from '../../protocol/object-store/port.js';

/** A version of a model's weights, as an operator has named it. */
export interface NamedWeights {
  readonly model: string;
  readonly version: number;
}

/** Decodes one kind each; undefined where the object is malformed. */
export interface ObjectDecoder {
  configuration(object: StoredObject): RoutingConfiguration | undefined;
  engine(object: StoredObject): EngineRecord | undefined;
  weights(object: StoredObject): NamedWeights | undefined;
}

/** Kinds of object, as the store names them. */
export interface ObjectKinds {
  readonly configuration: string;
  readonly engines: string;
  readonly weightVersions: string;
  readonly leases: string;
}
