/** The stand-in of the platform's machine list: shows changes only after a lag. */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Machine, MachineList } from '../../protocol/machine-list/port.js';

const POLL_MS = 50;

/** Machines in memory. */
export class MachineRegistry {
  private readonly machines = new Map<string, Machine>();
  private shown: MachineList = { version: 0, machines: [] };

  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
  ) {}

  /** Adds or replaces a machine; shown after the lag. */
  put(machine: Machine): void {
    this.machines.set(machine.id, machine);
    this.publishLater();
  }

  /** Marks a machine as leaving. */
  setLeaving(machineId: string, leaving: boolean): void {
    const machine = this.machines.get(machineId);
    if (machine) this.put({ ...machine, leaving });
  }

  remove(machineId: string): void {
    this.machines.delete(machineId);
    this.publishLater();
  }

  /** Resolves with a list above `afterVersion`, or undefined after `waitMs`. */
  async watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined> {
    const deadlineMs = this.clock.now() + waitMs;
    while (this.shown.version <= afterVersion) {
      if (this.clock.now() >= deadlineMs) return undefined;
      await sleep(this.clock, POLL_MS);
    }
    return this.shown;
  }

  private publishLater(): void {
    const publish = (): void => {
      const machines = [...this.machines.values()];
      this.shown = { version: this.shown.version + 1, machines };
    };
    if (this.lagMs === 0) publish();
    else this.clock.setTimer(this.lagMs, publish);
  }
}
