/** Guards against broken responses that are stated to be complete, while other faults happen. */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { responseFramingCommands } from '../../fuzz/response-framing-commands.js';
import { RESPONSE_FRAMING_MUTATIONS } from '../../fuzz/response-framing-mutations.js';

const RUNS = 60;

declareGatewayFuzz([64], responseFramingCommands, RUNS);
declareMutations(RESPONSE_FRAMING_MUTATIONS, responseFramingCommands);
