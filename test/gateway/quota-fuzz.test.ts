/** Guards against tenants that exceed their limits, also during changes and partitions. */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { quotaCommands } from '../../fuzz/quota-commands.js';
import { QUOTA_MUTATIONS } from '../../fuzz/quota-mutations.js';

declareGatewayFuzz([11, 12], quotaCommands);
declareMutations(QUOTA_MUTATIONS, quotaCommands);
