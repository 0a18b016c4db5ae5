/** Guards against cached prompts of isolated tenants in reach of others, while the isolation changes beside other faults. */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { isolationCommands } from '../../fuzz/isolation-commands.js';
import { ISOLATION_MUTATIONS } from '../../fuzz/isolation-mutations.js';

const RUNS = 60;

declareGatewayFuzz([92], isolationCommands, RUNS);
declareMutations(ISOLATION_MUTATIONS, isolationCommands);
