/** A fake machine list of the platform. Publishes changes after a delay. */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Machine, MachineList } from '../../protocol/machine-list/port.js';

const POLL_MS = 50;

/** In-memory machine list. */
export class MachineRegistry {
  private readonly machines = new Map<string, Machine>();
  private published: MachineList = { version: 0, machines: [] };

  constructor(
    private readonly clock: Clock,
    private readonly lagMs: number,
  ) {}

  /** Adds or replaces a machine. The change is published after the lag. */
  put(machine: Machine): void {
    this.machines.set(machine.id, machine);
    this.schedulePublish();
  }

  /** Sets whether a machine is leaving. */
  setLeaving(machineId: string, leaving: boolean): void {
    const machine = this.machines.get(machineId);
    if (machine) this.put({ ...machine, leaving });
  }

  remove(machineId: string): void {
    this.machines.delete(machineId);
    this.schedulePublish();
  }

  /** Resolves with a list newer than `afterVersion`, or with undefined after `waitMs`. */
  async watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined> {
    const deadlineMs = this.clock.now() + waitMs;
    while (this.published.version <= afterVersion) {
      if (this.clock.now() >= deadlineMs) return undefined;
      await sleep(this.clock, POLL_MS);
    }
    return this.published;
  }

  private schedulePublish(): void {
    const publish = (): void => {
      const machines = [...this.machines.values()];
      this.published = { version: this.published.version + 1, machines };
    };
    if (this.lagMs === 0) publish();
    else this.clock.setTimer(this.lagMs, publish);
  }
}
