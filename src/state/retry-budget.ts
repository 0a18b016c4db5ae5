/** Token buckets that limit retries to a share of the requests, to prevent retry storms. */

/** Capacity of the bucket. */
const MAXIMUM_SAVED_RETRIES = 10;

/** Retry budget of one tenant at one router. */
export class RetryBudget {
  private tokens = MAXIMUM_SAVED_RETRIES / 2;

  /** Adds the retry share of one request. */
  earn(retryShare: number): void {
    this.tokens = Math.min(MAXIMUM_SAVED_RETRIES, this.tokens + retryShare);
  }

  /** Takes one retry; returns false if there is none left. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/** Retry budgets of all tenants at one router, created on first use. */
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
