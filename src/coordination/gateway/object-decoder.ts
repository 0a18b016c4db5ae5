/** The port that turns stored objects into the product's own values. */
import type { Logger } from '../../runtime/logger.js';
import type { RoutingConfiguration } from '../../state/routing/configuration.js';
import type { EngineRecord } from '../../state/routing/engine-registry.js';
import type { StoredObject } from '../../protocol/object-store/port.js';

/** A version of a model's weights, as an operator has named it. */
export interface NamedWeights {
  readonly model: string;
  readonly version: number;
}

/** What became of decoding an object. */
export type Decoded<Value> =
  | { readonly kind: 'value'; readonly value: Value }
  /** An object of the kind that routers do not use. */
  | { readonly kind: 'unused' }
  /** Not of the form that was agreed; `reason` names the first field at fault. */
  | { readonly kind: 'malformed'; readonly reason: string };

/** Decodes one kind each. */
export interface ObjectDecoder {
  configuration(object: StoredObject): Decoded<RoutingConfiguration>;
  engine(object: StoredObject): Decoded<EngineRecord>;
  weights(object: StoredObject): Decoded<NamedWeights>;
}

/** The decoded value; undefined, with a log line, where the object is malformed. */
export function valueOrLog<Value>(
  decoded: Decoded<Value>,
  { name, position }: StoredObject,
  logger: Logger,
): Value | undefined {
  if (decoded.kind === 'value') return decoded.value;
  if (decoded.kind === 'malformed') {
    const { revision } = position;
    logger.error('object_malformed', { object: name, revision, reason: decoded.reason });
  }
  return undefined;
}

/** Kinds of object, as the store names them. */
export interface ObjectKinds {
  readonly configuration: string;
  readonly engines: string;
  readonly weightVersions: string;
  readonly leases: string;
  readonly quarantine: string;
}
