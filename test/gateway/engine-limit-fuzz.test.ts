/** The gateway's fuzz with engines that take a limited number of requests a second. */
import { engineLimitCommands } from '../../fuzz/engine-limit-commands.js';
import { ENGINE_LIMIT_MUTATIONS } from '../../fuzz/engine-limit-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([31, 32], engineLimitCommands);
declareMutations(ENGINE_LIMIT_MUTATIONS, engineLimitCommands);
