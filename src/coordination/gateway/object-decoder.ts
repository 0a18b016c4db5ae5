/** Port that decodes stored objects into the router's types. */
import type { Logger } from '../../runtime/logger.js';
import type { RoutingConfiguration } from '../../state/routing/configuration.js';
import type { EngineRecord } from '../../state/routing/engine-registry.js';
import type { StoredObject } from '../../protocol/object-store/port.js';

/** A version of a model's weights that an operator has named. */
export interface NamedWeights {
  readonly model: string;
  readonly version: number;
}

/** Result of decoding an object. */
export type Decoded<Value> =
  | { readonly kind: 'value'; readonly value: Value }
  /** A valid object that routers don't use. */
  | { readonly kind: 'unused' }
  /** The object doesn't match its schema; `reason` names the first invalid field. */
  | { readonly kind: 'malformed'; readonly reason: string };

/** Decodes the objects of each kind. */
export interface ObjectDecoder {
  configuration(object: StoredObject): Decoded<RoutingConfiguration>;
  engine(object: StoredObject): Decoded<EngineRecord>;
  weights(object: StoredObject): Decoded<NamedWeights>;
}

/** Characters of a name or a reason in the log; both may contain untrusted text. */
const MAXIMUM_TEXT_LENGTH = 120;

/** Returns the decoded value, or undefined; logs a malformed object. */
export function valueOrLog<Value>(
  decoded: Decoded<Value>,
  { name, position }: StoredObject,
  logger: Logger,
): Value | undefined {
  if (decoded.kind === 'value') return decoded.value;
  if (decoded.kind === 'malformed') {
    const { revision } = position;
    const object = name.slice(0, MAXIMUM_TEXT_LENGTH);
    const reason = decoded.reason.slice(0, MAXIMUM_TEXT_LENGTH);
    logger.error('object_malformed', { object, revision, reason });
  }
  return undefined;
}

/** Names of the object kinds in the store. */
export interface ObjectKinds {
  readonly configuration: string;
  readonly engines: string;
  readonly weightVersions: string;
  readonly leases: string;
  readonly quarantine: string;
  /** The builds that services have had recently. */
  readonly builds: string;
}
