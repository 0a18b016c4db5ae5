/** Distributes a tenant's requests over sites according to the shares of its template. */

/** Time constant of the decay by which older requests count less. */
export const SHARE_WINDOW_MS = 30_000;

/** Requests, and share of all requests, by which a site may exceed its share. */
const SLACK_REQUESTS = 2;
const SLACK_SHARE = 0.015;

/** Exponentially decaying request counts of one tenant by site. */
export class SiteShares {
  private readonly sent = new Map<string, number>();
  private total = 0;
  private updatedAtMs = 0;

  /** Sites to which the next request may be sent: those that do not exceed their share. */
  openSites(shares: Readonly<Record<string, number>>, nowMs: number): Set<string> {
    this.decay(nowMs);
    const open = new Set<string>();
    const slack = SLACK_REQUESTS + SLACK_SHARE * this.total;
    for (const [site, share] of Object.entries(shares)) {
      if (share <= 0) continue;
      const allowed = share * (this.total + 1) + slack;
      if ((this.sent.get(site) ?? 0) + 1 <= allowed) open.add(site);
    }
    return open;
  }

  /** Records a request sent to a site. */
  record(site: string, nowMs: number): void {
    this.decay(nowMs);
    this.sent.set(site, (this.sent.get(site) ?? 0) + 1);
    this.total += 1;
  }

  /** Share of recent requests at each site, for status pages. */
  achievedShares(nowMs: number): Map<string, number> {
    this.decay(nowMs);
    const shares = new Map<string, number>();
    for (const [site, count] of this.sent) shares.set(site, count / Math.max(1e-9, this.total));
    return shares;
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.updatedAtMs) / SHARE_WINDOW_MS);
    this.updatedAtMs = nowMs;
    this.total *= factor;
    for (const [site, count] of this.sent) this.sent.set(site, count * factor);
  }
}
