/** Exchange of loads, observations, tenant quotas and origins of streams between routers. */
import { LoadCollection, type CollectionParts } from './load-collection.js';
import type { BuildRecordSource } from './build-record.js';
import type { GroupMembership } from './group-membership.js';
import { ObservationExchange, type ObservationParts } from './observation-exchange.js';
import { GroupQuotaView } from './quota/group-quota-view.js';
import { type QuotaParts, TenantQuotas } from './quota/tenant-quotas.js';
import { StreamOriginExchange } from './stream-origin-exchange.js';

/** Dependencies of {@link GroupExchange}. */
export interface ExchangeParts
  extends Omit<CollectionParts, 'group'>, Omit<QuotaParts, 'group' | 'clock' | 'logger'> {
  readonly group: GroupMembership;
  readonly observations: ObservationParts;
  readonly builds: BuildRecordSource;
  /** This router's share of the group's requests, above 0 to 1. */
  shareOfTraffic(): number;
}

/** Runs these exchanges and dispatches their datagrams. */
export class GroupExchange {
  readonly quotas: TenantQuotas;
  readonly streamOrigins: StreamOriginExchange;
  private readonly collection: LoadCollection;

  constructor(parts: ExchangeParts) {
    const { group } = parts;
    const quotaGroup = new GroupQuotaView(group, () => parts.shareOfTraffic());
    this.quotas = new TenantQuotas({ ...parts, group: quotaGroup });
    this.streamOrigins = new StreamOriginExchange({ ...parts, group: quotaGroup });
    const observations = new ObservationExchange(group, parts.observations, parts.clock);
    this.collection = new LoadCollection({ ...parts, listener: observations });
    group.onObservationDatagram = (body) => observations.receive(body);
    group.onQuotaDatagram = (body) => this.quotas.receive(body);
    group.onStreamOriginDatagram = (body) => this.streamOrigins.receive(body);
    group.onWorkDatagram = (body) => this.collection.receive(body);
  }

  /** What requests use of the exchanges. */
  get requestViews(): Pick<GroupExchange, 'quotas' | 'streamOrigins'> {
    const { quotas, streamOrigins } = this;
    return { quotas, streamOrigins };
  }

  start(): void {
    this.collection.start();
    this.streamOrigins.start();
  }

  stop(): void {
    this.quotas.stop();
    this.streamOrigins.stop();
    this.collection.stop();
  }
}
