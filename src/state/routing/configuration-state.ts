/**
 * The active configuration of one router and the proof that it is current.
 *
 * A proof is a response of the store. It counts from the start of its call, since the response
 * includes every change that was acknowledged before. Its age includes suspensions of the machine:
 * otherwise a resumed router would accept keys that were revoked meanwhile.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** Holds the newest configuration seen; the version never decreases within an incarnation. */
export class ConfigurationState {
  private table: RouteTable | undefined;
  private provenAt = ElapsedInstant.never;
  /** Whether the store last returned a configuration older than the active one, or none. */
  private isStoreBehind = false;

  /** @param proofLifetimeMs how long a proof allows dispatching requests that carry a key */
  constructor(private readonly proofLifetimeMs: number) {}

  /** The active table; undefined before the first configuration. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** Applies the result of a call that started at `callStart`; returns whether it is newer. */
  apply(configuration: RoutingConfiguration, callStart: ElapsedInstant): boolean {
    this.isStoreBehind = configuration.version < this.version;
    if (this.isStoreBehind) return false;
    this.provenAt = this.provenAt.later(callStart);
    if (configuration.version === this.version) return false;
    this.table = new RouteTable(configuration);
    return true;
  }

  /** Records that the store holds no configuration. */
  noteMissing(): void {
    this.isStoreBehind = true;
  }

  /**
   * Records that a call that started at `callStart` found no newer configuration. While a restored
   * store holds an older configuration it proves nothing, since lost changes may have revoked a
   * key.
   */
  recordProof(callStart: ElapsedInstant): void {
    if (this.table && !this.isStoreBehind) this.provenAt = this.provenAt.later(callStart);
  }

  /** Age of the latest proof, in milliseconds. */
  proofAgeMs(now: ElapsedInstant): number {
    return now.since(this.provenAt);
  }

  /** Whether requests that carry a key may be dispatched. */
  isProven(now: ElapsedInstant): boolean {
    return this.table !== undefined && this.proofAgeMs(now) < this.proofLifetimeMs;
  }
}
