/** Guards against routers that make engines fail by requests that these have no room for. */
import { brittleEngineCommands } from '../../fuzz/brittle-engine-commands.js';
import { BRITTLE_ENGINE_MUTATIONS } from '../../fuzz/brittle-engine-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

const RUNS = 40;

declareGatewayFuzz([71], brittleEngineCommands, RUNS);
declareMutations(BRITTLE_ENGINE_MUTATIONS, brittleEngineCommands, RUNS);
