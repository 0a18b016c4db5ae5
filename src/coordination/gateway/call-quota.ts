/** One request and the limit of its tenant: asked once before the first send, given back where nothing ran. */
import type { Tenant } from '../../state/routing/configuration.js';
import type { InboundRequest } from './reply.js';
import type { QuotaDecision, TenantQuotas } from './quota/tenant-quotas.js';

/** Where the request stands with its tenant's limit. */
enum QuotaState {
  NotAsked,
  Asked,
  Granted,
  /** The request has ended; a late grant is given back. */
  Ended,
}

/** The charge of one request. */
export class CallQuota {
  private state = QuotaState.NotAsked;
  private tenant: Tenant | undefined;
  private charge = 0;

  constructor(
    private readonly request: InboundRequest,
    private readonly quotas: TenantQuotas,
  ) {}

  get isGranted(): boolean {
    return this.state === QuotaState.Granted;
  }

  /** Asks once; `onDecision` is called at once or a few milliseconds later, unless the request has ended. */
  ask(tenant: Tenant | undefined, onDecision: (decision: QuotaDecision) => void): void {
    this.tenant = tenant;
    this.state = QuotaState.Asked;
    this.quotas.admit(tenant, this.request.declaredTokens, (decision) => {
      if (decision.kind === 'granted') this.charge = decision.charge;
      if (this.state === QuotaState.Ended) {
        this.giveBack();
        return;
      }
      this.state = decision.kind === 'granted' ? QuotaState.Granted : QuotaState.NotAsked;
      onDecision(decision);
    });
  }

  /** The request runs once more. */
  chargeAgain(): void {
    if (this.tenant) this.quotas.enter(this.tenant, this.charge);
  }

  /** The request has ended. */
  end(mayHaveRun: boolean): void {
    const isGranted = this.state === QuotaState.Granted;
    this.state = QuotaState.Ended;
    if (isGranted && !mayHaveRun) this.giveBack();
  }

  private giveBack(): void {
    if (this.tenant) this.quotas.enter(this.tenant, -this.charge);
    this.charge = 0;
  }
}
