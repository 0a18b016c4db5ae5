/** Plain back ends by service, with their breakers. */
import { type RandomSource, randomElement } from '../../runtime/random.js';
import type { Machine } from '../../protocol/machine-list/port.js';
import { CircuitBreaker } from '../../state/circuit-breaker.js';

/** A plain back end as the router sees it. */
export interface BackendRecord {
  machine: Machine;
  readonly breaker: CircuitBreaker;
}

/** The back ends of the machine list. */
export class BackendTable {
  private readonly records = new Map<string, BackendRecord>();

  /** Takes over the machine list. */
  replaceMachines(machines: readonly Machine[]): void {
    const listed = new Set(machines.map((machine) => machine.id));
    for (const id of [...this.records.keys()]) if (!listed.has(id)) this.records.delete(id);
    for (const machine of machines) {
      const present = this.records.get(machine.id);
      if (present) present.machine = machine;
      else this.records.set(machine.id, { machine, breaker: new CircuitBreaker() });
    }
  }

  /** One that may take new work for the service, besides those excluded. */
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
    const near = usable.filter(({ machine }) => machine.zone === zone);
    return randomElement(random, near.length > 0 ? near : usable);
  }

  /** Any that answers for the service, leaving ones among them, for lookups. */
  all(service: string): BackendRecord[] {
    return [...this.records.values()].filter(({ machine }) => machine.services.includes(service));
  }
}
