/** Creates the crash protection of one router from its settings and dependencies. */
import type { EngineRegistry } from '../../state/routing/engine-registry.js';
import { CrashProtection, type CrashProtectionParts } from './crash-protection.js';
import type { GatewayDependencies } from './gateway-dependencies.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { GatewayStatistics } from './gateway-statistics.js';
import type { GroupMembership } from './group-membership.js';
import type { RunningCalls } from './running-calls.js';
import { trialRank } from './trial-rank.js';

/** Components of the router that the crash protection uses. */
export interface CrashSetupParts {
  readonly group: GroupMembership;
  readonly calls: RunningCalls;
  readonly registry: EngineRegistry;
  readonly statistics: GatewayStatistics;
  readonly checkEngine: CrashProtectionParts['checkEngine'];
}

export function createCrashProtection(
  settings: GatewaySettings,
  dependencies: GatewayDependencies,
  { group, calls, registry, statistics, checkEngine }: CrashSetupParts,
): CrashProtection {
  return new CrashProtection({
    ...dependencies,
    policy: settings.requestQuarantine,
    partPolicy: settings.partQuarantine,
    kind: settings.kinds.quarantine,
    registry,
    statistics,
    checkEngine,
    announce: () => group.reportNow(),
    trialRank: (fingerprint) => trialRank(fingerprint, group, dependencies.hasher),
    endCalls: (subject, fingerprint) => calls.endQuarantined(subject, fingerprint),
  });
}
