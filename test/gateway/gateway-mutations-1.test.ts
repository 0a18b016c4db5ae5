/** Checks that the fuzz test detects mutations of routers, part 1 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(0, 3);
