/** Weakened routers that the gateway's fuzz must find, share 3 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(2, 3);
