/**
 * The quota charge of one request: acquired once before the first send, refunded if nothing ran.
 */
import type { Tenant } from '../../state/routing/configuration.js';
import type { InboundRequest } from './reply.js';
import type { QuotaDecision, QuotaGrant, TenantQuotas } from './quota/tenant-quotas.js';

/** State of the request's quota charge. */
enum QuotaState {
  NotRequested,
  Requested,
  Granted,
  /** The request has ended; a grant that arrives later is refunded. */
  Ended,
}

/** Acquires and refunds the quota charge of one request. */
export class CallQuota {
  private state = QuotaState.NotRequested;
  private tenant: Tenant | undefined;
  private grant: QuotaGrant | undefined;

  constructor(
    private readonly request: InboundRequest,
    private readonly quotas: TenantQuotas,
  ) {}

  /** The charge of the request; undefined if it has none, or no more. */
  get charged(): QuotaGrant | undefined {
    return this.grant;
  }

  get isGranted(): boolean {
    return this.state === QuotaState.Granted;
  }

  /**
   * Requests the charge once. `onDecision` is called immediately or a few milliseconds later,
   * unless the request has ended.
   */
  acquire(tenant: Tenant | undefined, onDecision: (decision: QuotaDecision) => void): void {
    this.tenant = tenant;
    this.state = QuotaState.Requested;
    this.quotas.admit(tenant, this.request.declaredTokens, (decision) => {
      if (decision.kind === 'granted') this.grant = decision;
      if (this.state === QuotaState.Ended) {
        this.refund();
        return;
      }
      this.state = decision.kind === 'granted' ? QuotaState.Granted : QuotaState.NotRequested;
      onDecision(decision);
    });
  }

  /** Charges the request again for another run. */
  chargeAgain(): void {
    if (this.tenant && this.grant) this.quotas.recordUsage(this.tenant, this.grant.charge);
  }

  /** Ends the request; refunds the charge if nothing can have run. */
  end(mayHaveRun: boolean): void {
    const isGranted = this.state === QuotaState.Granted;
    this.state = QuotaState.Ended;
    if (isGranted && !mayHaveRun) this.refund();
  }

  private refund(): void {
    if (this.tenant && this.grant) this.quotas.recordUsage(this.tenant, -this.grant.charge);
    this.grant = undefined;
  }
}
