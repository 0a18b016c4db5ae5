/** Checks that the fuzz test detects mutations of routers, part 2 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(1, 3);
