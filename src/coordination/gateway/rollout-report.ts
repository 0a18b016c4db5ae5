/** Reports to operators, by log lines and counters, why a weight rollout proceeds or waits. */
import type { Logger } from '../../runtime/logger.js';
import {
  type RolloutObservations,
  type RolloutPlan,
  RolloutReason,
} from '../../state/routing/weight-rollout.js';
import type { GatewayStatistics } from './gateway-statistics.js';

/** Logs and counts rollout decisions, once per change of a model's decision. */
export class RolloutReport {
  private readonly loggedDecisions = new Map<string, string>();

  constructor(
    private readonly statistics: GatewayStatistics,
    private readonly logger: Logger,
  ) {}

  recordDecision(
    { model, version, reason, behind }: RolloutPlan,
    observed: RolloutObservations,
  ): void {
    const decision = `${version} ${reason}`;
    if (this.loggedDecisions.get(model) === decision) return;
    this.loggedDecisions.set(model, decision);
    this.count(reason);
    this.logger.info('rollout_decided', {
      model,
      version,
      reason,
      behind,
      requests_per_s: observed.requestsPerSecond.toFixed(1),
      names_per_s: observed.namesPerSecond.toFixed(3),
    });
  }

  private count(reason: RolloutReason): void {
    if (reason === RolloutReason.Waiting) this.statistics.rolloutWaits += 1;
    if (reason === RolloutReason.Profitable) this.statistics.rolloutsForWorth += 1;
    if (reason === RolloutReason.Deadline) this.statistics.rolloutsForDeadline += 1;
  }
}
