/**
 * The configuration in force at one router and the proof that it is current.
 * A proof is an answer of the store; it holds from the moment its call began, since a change that was
 * acknowledged earlier would have been in the answer. Its age counts suspensions of the machine: a router
 * that believed itself just proved after one would honour keys that were taken away meanwhile.
 */
import { ElapsedInstant } from '../../runtime/elapsed-instant.js';
import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** Holds the newest configuration seen; versions never go back within a life. */
export class ConfigurationState {
  private table: RouteTable | undefined;
  private provenAt = ElapsedInstant.never;
  /** Whether the store was last seen with an older configuration than the one in force, or with none. */
  private isStoreBehind = false;

  /** @param proofLifetimeMs how long a proof allows requests with a key to be dispatched */
  constructor(private readonly proofLifetimeMs: number) {}

  /** The table in force; undefined before the first configuration. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** Takes a configuration that a call begun at `callBegan` returned; false where it is not newer. */
  adopt(configuration: RoutingConfiguration, callBegan: ElapsedInstant): boolean {
    this.isStoreBehind = configuration.version < this.version;
    if (this.isStoreBehind) return false;
    this.provenAt = this.provenAt.latest(callBegan);
    if (configuration.version === this.version) return false;
    this.table = new RouteTable(configuration);
    return true;
  }

  /** The store was read and holds no configuration. */
  noteMissing(): void {
    this.isStoreBehind = true;
  }

  /**
   * Notes that a call begun at `callBegan` found no newer configuration. A store that was restored from an older copy
   * proves nothing until the operator has written again what it lost: a key may have been taken away meanwhile.
   */
  prove(callBegan: ElapsedInstant): void {
    if (this.table && !this.isStoreBehind) this.provenAt = this.provenAt.latest(callBegan);
  }

  /** Milliseconds since the proof in force began. */
  proofAgeMs(now: ElapsedInstant): number {
    return now.since(this.provenAt);
  }

  /** Whether requests that carry a key may be dispatched now. */
  isProven(now: ElapsedInstant): boolean {
    return this.table !== undefined && this.proofAgeMs(now) < this.proofLifetimeMs;
  }
}
