/** Keeps a tenant's work at each site near the share its template wants. */

/** Span over which shares are met. */
export const SHARE_WINDOW_MS = 30_000;

/** Tokens of work by which a site may run ahead of its share before it is closed for the tenant. */
const SLACK_REQUESTS = 2;
const SLACK_SHARE = 0.015;

/** Work of one tenant by site, with older work counting less. */
export class SiteShares {
  private readonly sent = new Map<string, number>();
  private total = 0;
  private updatedMs = 0;

  /** Sites that may take the next request: those not ahead of their share. */
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

  /** Notes a request sent to a site. */
  record(site: string, nowMs: number): void {
    this.decay(nowMs);
    this.sent.set(site, (this.sent.get(site) ?? 0) + 1);
    this.total += 1;
  }

  /** Share of recent work at each site, for status pages. */
  met(nowMs: number): Map<string, number> {
    this.decay(nowMs);
    const shares = new Map<string, number>();
    for (const [site, count] of this.sent) shares.set(site, count / Math.max(1e-9, this.total));
    return shares;
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-(nowMs - this.updatedMs) / SHARE_WINDOW_MS);
    this.updatedMs = nowMs;
    this.total *= factor;
    for (const [site, count] of this.sent) this.sent.set(site, count * factor);
  }
}
