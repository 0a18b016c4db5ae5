/** A token bucket that ties retries to the number of requests, so that they can't multiply. */

/** Retries that may be saved up. */
const MAXIMUM_SAVED_RETRIES = 10;

/** The retry budget of one tenant at one router. */
export class RetryBudget {
  private tokens = MAXIMUM_SAVED_RETRIES / 2;

  /** Each request earns its share of a retry. */
  earn(retryShare: number): void {
    this.tokens = Math.min(MAXIMUM_SAVED_RETRIES, this.tokens + retryShare);
  }

  /** Takes one retry; false where none is left. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/** The budgets of all tenants at one router, made when first asked for. */
export class RetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  of(tenant: string): RetryBudget {
    let budget = this.budgets.get(tenant);
    if (!budget) {
      budget = new RetryBudget();
      this.budgets.set(tenant, budget);
    }
    return budget;
  }
}
