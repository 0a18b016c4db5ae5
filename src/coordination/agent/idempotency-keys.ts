/** Turns callers' idempotency keys into request identifiers and remembers when each was first seen. */
import { createHash } from 'node:crypto';
import type { LRUCache } from 'lru-cache';
import { createBoundedCache } from '../../state/bounded-cache.js';
import { CLAIM_RETENTION_MS } from '../../state/claim-table.js';

const MAXIMUM_KEYS = 50_000;
const IDENTIFIER_DIGITS = 32;

/** An identifier and its possible age. */
export interface KeyedIdentifier {
  readonly requestId: string;
  /** Milliseconds since it may first have been used; 0 where this is proven to be its first use. */
  readonly ageMs: number;
}

/** The keys one agent has seen. */
export class IdempotencyKeys {
  private readonly firstSeenMs: LRUCache<string, number>;

  /**
   * `firstInstallation`: no key can have been used before this agent started. Otherwise a key not
   * seen here may have been used through the agent's earlier life, as long as claims are kept.
   */
  constructor(
    private readonly startedAtMs: number,
    private readonly firstInstallation: boolean,
    private readonly now: () => number,
  ) {
    this.firstSeenMs = createBoundedCache(MAXIMUM_KEYS, { retentionMs: CLAIM_RETENTION_MS, now });
  }

  /** `scope` names what is asked for, so that a key used for two things stands for two requests. */
  identifierFor(tenant: string, scope: string, key: string): KeyedIdentifier {
    const requestId = createHash('sha256')
      .update(JSON.stringify([tenant, scope, key]))
      .digest('hex')
      .slice(0, IDENTIFIER_DIGITS);
    const nowMs = this.now();
    const firstSeen = this.firstSeenMs.get(requestId);
    if (firstSeen !== undefined) return { requestId, ageMs: nowMs - firstSeen };
    this.firstSeenMs.set(requestId, nowMs);
    return { requestId, ageMs: this.possibleAge(nowMs) };
  }

  private possibleAge(nowMs: number): number {
    if (this.firstInstallation) return 0;
    const uptimeMs = nowMs - this.startedAtMs;
    return uptimeMs >= CLAIM_RETENTION_MS ? 0 : CLAIM_RETENTION_MS;
  }
}
