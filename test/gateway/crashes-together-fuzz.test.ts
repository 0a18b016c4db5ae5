/** Guards against sound requests that are blamed for crashes of engines that fail together, beside other faults. */
import { crashesTogetherCommands } from '../../fuzz/crashes-together-commands.js';
import { CRASHES_TOGETHER_MUTATIONS } from '../../fuzz/crashes-together-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

const RUNS = 40;

declareGatewayFuzz([91], crashesTogetherCommands, RUNS);
declareMutations(CRASHES_TOGETHER_MUTATIONS, crashesTogetherCommands);
