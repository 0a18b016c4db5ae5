/**
 * The configuration in force at one router and the proof that it is current.
 * A proof is an answer of the store; it holds from the moment its call began, since a change that was
 * acknowledged earlier would have been in the answer.
 */
import type { RoutingConfiguration } from './configuration.js';
import { RouteTable } from './route-table.js';

/** Holds the newest configuration seen; versions never go back within a life. */
export class ConfigurationState {
  private table: RouteTable | undefined;
  private provenAtMs = -Infinity;

  /** @param proofLifetimeMs how long a proof allows requests with a key to be dispatched */
  constructor(private readonly proofLifetimeMs: number) {}

  /** The table in force; undefined before the first configuration. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /** Takes a configuration that a call begun at `callBeganMs` returned; false where it is not newer. */
  adopt(configuration: RoutingConfiguration, callBeganMs: number): boolean {
    if (configuration.version < this.version) return false;
    this.provenAtMs = Math.max(this.provenAtMs, callBeganMs);
    if (configuration.version === this.version) return false;
    this.table = new RouteTable(configuration);
    return true;
  }

  /** Notes that a call begun at `callBeganMs` found no newer configuration. */
  prove(callBeganMs: number): void {
    if (this.table) this.provenAtMs = Math.max(this.provenAtMs, callBeganMs);
  }

  /** Milliseconds since the proof in force began. */
  proofAgeMs(nowMs: number): number {
    return nowMs - this.provenAtMs;
  }

  /** Whether requests that carry a key may be dispatched now. */
  isProven(nowMs: number): boolean {
    return this.table !== undefined && this.proofAgeMs(nowMs) < this.proofLifetimeMs;
  }
}
