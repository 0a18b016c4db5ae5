/** Limits how many requests of one tenant run at once through one router. */

/** Requests running now, by tenant. */
export class Admission {
  private readonly running = new Map<string, number>();

  /** Takes a place for the tenant; false where all its places are taken. */
  tryEnter(tenant: string, maximum: number): boolean {
    const present = this.running.get(tenant) ?? 0;
    if (present >= maximum) return false;
    this.running.set(tenant, present + 1);
    return true;
  }

  /** Gives a place back. */
  leave(tenant: string): void {
    const present = this.running.get(tenant) ?? 0;
    if (present <= 1) this.running.delete(tenant);
    else this.running.set(tenant, present - 1);
  }

  /** Requests of all tenants. */
  get total(): number {
    let total = 0;
    for (const count of this.running.values()) total += count;
    return total;
  }
}
