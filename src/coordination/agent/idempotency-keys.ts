/** Derives request identifiers from callers' idempotency keys. */
import { createHash } from 'node:crypto';

const IDENTIFIER_DIGITS = 32;

/**
 * Returns the identifier for a key. It depends only on tenant, scope (the requested operation) and
 * key: every agent derives the same one, and a key used in two scopes identifies two requests.
 */
export function identifierForKey(tenant: string, scope: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([tenant, scope, key]))
    .digest('hex')
    .slice(0, IDENTIFIER_DIGITS);
}
