/** Turns callers' idempotency keys into request identifiers. */
import { createHash } from 'node:crypto';

const IDENTIFIER_DIGITS = 32;

/**
 * The identifier for a key. It depends on tenant, scope (what is asked for) and key alone, so that
 * any agent gives the same, and a key used for two things stands for two requests.
 */
export function identifierForKey(tenant: string, scope: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([tenant, scope, key]))
    .digest('hex')
    .slice(0, IDENTIFIER_DIGITS);
}
