/** Services that the calls of a router share. */
import type { Clock } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type { EnginePort } from '../../protocol/engine/port.js';
import type { PlainBackendPort } from '../../protocol/plain-backend/port.js';
import type { Admission } from '../../state/admission.js';
import type { EngineTable } from '../../state/engine-table.js';
import type { PrefixDirectory } from '../../state/prefix-directory.js';
import type { RetryBudget } from '../../state/retry-budget.js';
import type { Configuration } from '../shared/configuration.js';
import type { BackendTable } from './backend-table.js';
import type { ClaimService } from './claim-service.js';
import type { EngineSelector } from './engine-selector.js';
import type { RouterStatistics } from './router-statistics.js';
import type { Protections } from './settings.js';

/** Services of one router node. */
export interface RouterContext {
  readonly nodeId: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hasher: Hasher;
  readonly logger: Logger;
  readonly configuration: Configuration;
  readonly engines: EngineTable;
  readonly directory: PrefixDirectory;
  readonly selector: EngineSelector;
  readonly backends: BackendTable;
  readonly enginePort: EnginePort;
  readonly backendPort: PlainBackendPort;
  readonly claims: ClaimService;
  readonly admission: Admission;
  readonly protections: Protections;
  readonly statistics: RouterStatistics;
  /** The tenant's retry budget at this router. */
  retryBudgetOf(tenant: string): RetryBudget;
}
