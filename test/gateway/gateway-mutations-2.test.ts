/** Weakened routers that the gateway's fuzz must find, share 2 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(1, 3);
