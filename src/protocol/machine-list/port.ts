/** What the system expects of the platform's machine list. It lags. */

/** What a machine runs. */
export type MachineKind = 'engine' | 'backend' | 'kv-store';

/** A machine on the list. */
export interface Machine {
  readonly id: string;
  readonly kind: MachineKind;
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  /** Services a plain back end answers. */
  readonly services: readonly string[];
  readonly leaving: boolean;
}

/** The list at one version. */
export interface MachineList {
  /** Grows with each change. */
  readonly version: number;
  readonly machines: readonly Machine[];
}

/** Calls to the machine list. Promises reject with a `ProtocolFailure`. */
export interface MachineListPort {
  /** Waits for a version above `afterVersion`; undefined where none came in time. */
  watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined>;
}
