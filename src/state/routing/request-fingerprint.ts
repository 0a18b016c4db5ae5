/**
 * Identifies a request by its content, so that every router recognizes a retry under another
 * request identifier: tenant, host, method, path and body. Identifies a prompt part by its
 * identifier, within the model and, for a tenant whose prompts are isolated, the tenant.
 *
 * SHA-256 prevents callers from crafting a request with the fingerprint of another one. The tenant
 * is part of the hash, so requests of two tenants never share a fingerprint. Fingerprints are
 * computed only for requests that an engine crash interrupted, and while the quarantine has
 * entries.
 */
import { createHash } from 'node:crypto';
import type { RequestBody } from '../../runtime/request-body.js';

/** The properties in which equal requests agree. */
export interface RequestIdentity {
  /** Undefined if the caller needs no key. */
  readonly tenant: string | undefined;
  readonly host: string;
  readonly method: string;
  /** Without the query. */
  readonly path: string;
  readonly body: RequestBody;
}

/** What identifies a prompt part to engines, whatever their weights. */
export interface PromptPartIdentity {
  readonly model: string;
  /** Set if the tenant's prompts are isolated from those of others. */
  readonly isolatedTenant: string | undefined;
  readonly partId: string;
}

/** Length of the truncated hash; long enough to make searching for collisions infeasible. */
const FINGERPRINT_BYTES = 16;
/** Occurs in none of the separated fields. */
const SEPARATOR = '\0';

/** Returns the fingerprint as 32 hexadecimal digits. */
export function fingerprintOf({ tenant, host, method, path, body }: RequestIdentity): string {
  const hash = createHash('sha256');
  hash.update([tenant === undefined ? '-' : `+${tenant}`, host, method, path, ''].join(SEPARATOR));
  for (const piece of body.pieces) hash.update(piece);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex');
}

/** Returns the fingerprint of a prompt part as 32 hexadecimal digits. */
export function promptPartFingerprintOf(identity: PromptPartIdentity): string {
  const { model, isolatedTenant, partId } = identity;
  const namespace = isolatedTenant === undefined ? '-' : `+${isolatedTenant}`;
  const hash = createHash('sha256');
  hash.update(['prompt-part', model, namespace, partId].join(SEPARATOR));
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex');
}
