/**
 * Names a request by what it is, so that it is known again when it comes under another identifier and at
 * another router: caller, host, method, path and body.
 *
 * SHA-256, so that nobody can craft a request with the fingerprint of somebody else's; the tenant is part
 * of the hash, so requests of two tenants never share one. Taken only for requests that broke with their
 * engine, and while such requests are known: 17 microseconds for a body of 18 KB (`npm run bench`).
 */
import { createHash } from 'node:crypto';

/** What makes two requests the same. */
export interface RequestIdentity {
  /** Undefined where the caller needs no key. */
  readonly tenant: string | undefined;
  readonly host: string;
  readonly method: string;
  /** Path without its query. */
  readonly path: string;
  readonly body: Uint8Array;
}

/** Bytes of the hash that are kept: enough that no collision can be searched for. */
const FINGERPRINT_BYTES = 16;
/** Can't stand in any of the texts before it. */
const SEPARATOR = '\0';

/** The fingerprint, 32 hexadecimal digits. */
export function fingerprintOf({ tenant, host, method, path, body }: RequestIdentity): string {
  const hash = createHash('sha256');
  hash.update([tenant === undefined ? '-' : `+${tenant}`, host, method, path, ''].join(SEPARATOR));
  hash.update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex');
}
