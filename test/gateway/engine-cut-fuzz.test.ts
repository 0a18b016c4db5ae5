/** Guards against rule violations while routers are cut off from all engines. */
import { engineCutCommands } from '../../fuzz/engine-cut-commands.js';
import { ENGINE_CUT_MUTATIONS } from '../../fuzz/engine-cut-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([61, 62], engineCutCommands);
declareMutations(ENGINE_CUT_MUTATIONS, engineCutCommands);
