/** Checks that the fuzz test detects mutations of routers, part 3 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(2, 3);
