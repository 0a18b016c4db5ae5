/** Settings of one router of the gateway. Times in milliseconds. */
import type { QuarantinePolicy } from '../../state/routing/request-quarantine.js';
import type { QuotaTolerance } from '../../state/routing/quota/tenant-limit.js';
import type { RetryBudgetSettings } from '../../state/routing/shared-retry-budget.js';
import type { RolloutSettings } from '../../state/routing/weight-rollout.js';
import type { ObjectKinds } from './object-decoder.js';
import type { RelaySettings } from './store-relay/relayed-object-store.js';

/** What a router must be told. */
export interface GatewaySettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** Share of a processor core that this router may use, in thousandths. */
  readonly capacity: number;
  /** Where callers reach this router, HOST:PORT. */
  readonly frontendAddress: string;
  /** Where the other routers reach it by datagram and by connection, HOST:PORT. */
  readonly gossipAddress: string;
  /** Datagram addresses of a few routers; some may be stale. */
  readonly seeds: readonly string[];
  /** Whether the whole deployment starts for the first time: no router can have held a lease before. */
  readonly isFirstStart: boolean;
  readonly kinds: ObjectKinds;
  /** How long an answer of the store proves the configuration current. */
  readonly proofLifetimeMs: number;
  readonly configurationWatchMs: number;
  readonly engineWatchMs: number;
  readonly versionWatchMs: number;
  /** How the store is followed in a large group. */
  readonly relay: RelaySettings;
  /** Time after which an engine that drains, or whose entry is gone, must get no new work. */
  readonly drainMs: number;
  /** An engine's entry that its engine does not write for so long lapses. */
  readonly entryLifetimeMs: number;
  readonly retryBudget: RetryBudgetSettings;
  /** How far the limits of tenants may be passed; left out: {@link DEFAULT_QUOTA_TOLERANCE}. */
  readonly quotaTolerance?: QuotaTolerance | undefined;
  readonly rollout: RolloutSettings;
  /** A request that was sent in time may begin on replaced weights for so long after their grace. */
  readonly beginSlackMs: number;
  /** Weights found by a router that has just started are taken to be named this long ago. */
  readonly unseenVersionAgeMs: number;
  readonly leaseMs: number;
  /** How long after its last write to the lease its holder gives orders. */
  readonly leaseActMs: number;
  /** When a request counts as the cause of crashes; left out: the default. */
  readonly quarantine?: QuarantinePolicy;
}

/** Where operators do not say how far a tenant's limit may be passed: by a tenth, in any 10 s. */
export const DEFAULT_QUOTA_TOLERANCE: QuotaTolerance = {
  windowMs: 10_000,
  overageShare: 0.1,
  slack: 0,
};
