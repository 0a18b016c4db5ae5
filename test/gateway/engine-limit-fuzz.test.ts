/** Guards against routers that exceed the requests per second that engines announce. */
import { engineLimitCommands } from '../../fuzz/engine-limit-commands.js';
import { ENGINE_LIMIT_MUTATIONS } from '../../fuzz/engine-limit-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([31, 32], engineLimitCommands);
declareMutations(ENGINE_LIMIT_MUTATIONS, engineLimitCommands);
