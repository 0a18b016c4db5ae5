/** Exchange of loads, observations and tenant quotas between the routers of a group. */
import { LoadCollection, type CollectionParts } from './load-collection.js';
import type { GroupMembership } from './group-membership.js';
import { ObservationExchange, type ObservationParts } from './observation-exchange.js';
import { GroupQuotaView } from './quota/group-quota-view.js';
import { type QuotaParts, TenantQuotas } from './quota/tenant-quotas.js';

/** Dependencies of {@link GroupExchange}. */
export interface ExchangeParts
  extends Omit<CollectionParts, 'group'>, Omit<QuotaParts, 'group' | 'clock' | 'logger'> {
  readonly group: GroupMembership;
  readonly observations: ObservationParts;
  /** This router's share of the group's requests, above 0 to 1. */
  shareOfTraffic(): number;
}

/** Runs load collection, the exchange of observations and tenant quotas, and dispatches their datagrams. */
export class GroupExchange {
  readonly quotas: TenantQuotas;
  private readonly collection: LoadCollection;

  constructor(parts: ExchangeParts) {
    const { group } = parts;
    const quotaGroup = new GroupQuotaView(group, () => parts.shareOfTraffic());
    this.quotas = new TenantQuotas({ ...parts, group: quotaGroup });
    const observations = new ObservationExchange(group, parts.observations, parts.clock);
    this.collection = new LoadCollection({ ...parts, listener: observations });
    group.onObservationDatagram = (body) => observations.receive(body);
    group.onQuotaDatagram = (body) => this.quotas.receive(body);
    group.onWorkDatagram = (body) => this.collection.receive(body);
  }

  start(): void {
    this.collection.start();
  }

  stop(): void {
    this.quotas.stop();
    this.collection.stop();
  }
}
