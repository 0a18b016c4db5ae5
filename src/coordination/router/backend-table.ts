/** Plain back ends and their circuit breakers. */
import { type RandomSource, randomElement } from '../../runtime/random.js';
import type { Machine } from '../../protocol/machine-list/port.js';
import { CircuitBreaker } from '../../state/circuit-breaker.js';

/** A back end and this router's circuit breaker for it. */
export interface BackendRecord {
  machine: Machine;
  readonly breaker: CircuitBreaker;
}

/** All plain back ends of the machine list. */
export class BackendTable {
  private readonly records = new Map<string, BackendRecord>();

  /** Replaces the machine list; circuit breakers of remaining back ends are kept. */
  replaceMachines(machines: readonly Machine[]): void {
    const listed = new Set(machines.map((machine) => machine.id));
    for (const id of [...this.records.keys()]) if (!listed.has(id)) this.records.delete(id);
    for (const machine of machines) {
      const present = this.records.get(machine.id);
      if (present) present.machine = machine;
      else this.records.set(machine.id, { machine, breaker: new CircuitBreaker() });
    }
  }

  /**
   * Returns a random back end that accepts new requests for the service, preferably in the given
   * zone, or undefined if there is none.
   */
  pick(
    service: string,
    zone: string,
    excluded: ReadonlySet<string>,
    random: RandomSource,
    nowMs: number,
  ): BackendRecord | undefined {
    const usable = [...this.records.values()].filter(({ machine, breaker }) => {
      if (machine.leaving || excluded.has(machine.id)) return false;
      return machine.services.includes(service) && breaker.mayPass(nowMs);
    });
    const sameZone = usable.filter(({ machine }) => machine.zone === zone);
    return randomElement(random, sameZone.length > 0 ? sameZone : usable);
  }

  /** Returns all back ends of the service, including leaving ones, for lookups. */
  all(service: string): BackendRecord[] {
    return [...this.records.values()].filter(({ machine }) => machine.services.includes(service));
  }
}
