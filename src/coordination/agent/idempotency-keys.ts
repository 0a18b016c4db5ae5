/** Turns callers' idempotency keys into request identifiers and remembers when each was first seen. */
import { createHash } from 'node:crypto';
import { LRUCache } from 'lru-cache';
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
    this.firstSeenMs = new LRUCache({
      max: MAXIMUM_KEYS,
      ttl: CLAIM_RETENTION_MS,
      ttlResolution: 0,
      perf: { now: () => Math.max(1, now()) },
    });
  }

  identifierFor(tenant: string, key: string): KeyedIdentifier {
    const requestId = createHash('sha256')
      .update(JSON.stringify([tenant, key]))
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
