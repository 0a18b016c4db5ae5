/** Limits the concurrent requests of each tenant at one router. */

/** Counts running requests by tenant. */
export class Admission {
  private readonly running = new Map<string, number>();

  /** Takes a slot of the tenant; returns false if all its slots are taken. */
  tryEnter(tenant: string, maximum: number): boolean {
    const present = this.running.get(tenant) ?? 0;
    if (present >= maximum) return false;
    this.running.set(tenant, present + 1);
    return true;
  }

  /** Releases a slot of the tenant. */
  leave(tenant: string): void {
    const present = this.running.get(tenant) ?? 0;
    if (present <= 1) this.running.delete(tenant);
    else this.running.set(tenant, present - 1);
  }

  /** Running requests of all tenants. */
  get total(): number {
    let total = 0;
    for (const count of this.running.values()) total += count;
    return total;
  }
}
