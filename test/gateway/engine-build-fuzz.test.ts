/** Guards against streams joined from two builds of engines, while other faults happen. */
import { engineBuildCommands } from '../../fuzz/engine-build-commands.js';
import { ENGINE_BUILD_MUTATIONS } from '../../fuzz/engine-build-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

const RUNS = 60;

declareGatewayFuzz([71], engineBuildCommands, RUNS);
declareMutations(ENGINE_BUILD_MUTATIONS, engineBuildCommands);
