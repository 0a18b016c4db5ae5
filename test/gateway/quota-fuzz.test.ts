/** The gateway's fuzz with limits of tenants that change, tenants that send far beyond them, and routers cut off. */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { quotaCommands } from '../../fuzz/quota-commands.js';
import { QUOTA_MUTATIONS } from '../../fuzz/quota-mutations.js';

declareGatewayFuzz([11, 12], quotaCommands);
declareMutations(QUOTA_MUTATIONS, quotaCommands);
