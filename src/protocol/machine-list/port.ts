/** Interface to the platform's machine list, which lags behind the state of the machines. */

/** Kind of program that a machine runs. */
export type MachineKind = 'engine' | 'backend' | 'kv-store';

/** A machine on the list. */
export interface Machine {
  readonly id: string;
  readonly kind: MachineKind;
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  /** Services that a plain back end provides. */
  readonly services: readonly string[];
  readonly leaving: boolean;
}

/** The list of machines at one version. */
export interface MachineList {
  /** Increases with each change. */
  readonly version: number;
  readonly machines: readonly Machine[];
}

/** Calls to the machine list. Promises reject with a `ProtocolFailure`. */
export interface MachineListPort {
  /** Waits up to `waitMs` for a version above `afterVersion`; undefined if there is none. */
  watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined>;
}
