/** Settings of one router of the gateway. Times in milliseconds. */
import type { ByteBudgetSettings } from '../../state/routing/byte-budget.js';
import type { QuarantinePolicy } from '../../state/routing/quarantine-policy.js';
import type { QuotaTolerance } from '../../state/routing/quota/tenant-limit.js';
import type { RetryBudgetSettings } from '../../state/routing/shared-retry-budget.js';
import type { RolloutSettings } from '../../state/routing/weight-rollout.js';
import type { DisabledFeatures } from './load-sharing-settings.js';
import type { RequestQueueSettings } from './admission/queue-settings.js';
import type { ObjectKinds } from './object-decoder.js';
import type { RelaySettings } from './store-relay/relayed-object-store.js';

/** Settings that a router needs at its start. */
export interface GatewaySettings {
  readonly nodeId: string;
  readonly zone: string;
  readonly region: string;
  /** CPU share that this router may use, in thousandths of a core. */
  readonly capacity: number;
  /** Address for callers, HOST:PORT. */
  readonly frontendAddress: string;
  /** Address for other routers, for datagrams and connections, HOST:PORT. */
  readonly gossipAddress: string;
  /**
   * Address at which this router forwards connections to engines for other routers, HOST:PORT;
   * undefined if it doesn't.
   */
  readonly forwardingAddress?: string | undefined;
  /** Datagram addresses of some routers; a few may be stale. */
  readonly seeds: readonly string[];
  /**
   * Whether the deployment starts for the first time, so that no router can have held a lease
   * before.
   */
  readonly isFirstStart: boolean;
  readonly kinds: ObjectKinds;
  /** Time for which a response of the store proves that the configuration is current. */
  readonly proofLifetimeMs: number;
  readonly configurationWatchMs: number;
  readonly engineWatchMs: number;
  readonly versionWatchMs: number;
  /** How the store is watched in a large group. */
  readonly relay: RelaySettings;
  /**
   * Time after which an engine that drains, or whose entry was removed, must receive no new
   * requests.
   */
  readonly drainMs: number;
  /** Time after which an entry expires if its engine does not renew it. */
  readonly entryLifetimeMs: number;
  readonly retryBudget: RetryBudgetSettings;
  /** Tolerance on the limits of tenants; defaults to {@link DEFAULT_QUOTA_TOLERANCE}. */
  readonly quotaTolerance?: QuotaTolerance | undefined;
  readonly rollout: RolloutSettings;
  /**
   * Time after the grace period of replaced weights for which a request that was sent in time may
   * still start on them.
   */
  readonly beginSlackMs: number;
  /**
   * Age that a router assumes after its start for weight versions whose announcement it did not
   * observe.
   */
  readonly unseenVersionAgeMs: number;
  readonly leaseMs: number;
  /** Time after its last lease renewal for which the coordinator sends load commands. */
  readonly leaseActMs: number;
  /** Threshold for quarantining a request that crashes engines. */
  readonly requestQuarantine?: QuarantinePolicy;
  /** When a prompt part counts as the cause of crashes. */
  readonly partQuarantine?: QuarantinePolicy;
  /** Bounds of the request queues; derived from the default memory if absent. */
  readonly requestQueue?: RequestQueueSettings;
  /** Budget of the bytes held for callers and engines; derived from the default memory if absent. */
  readonly memory?: ByteBudgetSettings;
  /** Mechanisms of load sharing that are switched off; none by default. */
  readonly disabledFeatures?: DisabledFeatures;
}

/** Default tolerance on the limits of tenants. */
export const DEFAULT_QUOTA_TOLERANCE: QuotaTolerance = {
  windowMs: 10_000,
  overageShare: 0.1,
  slack: 0,
};
