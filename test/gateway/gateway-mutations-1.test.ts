/** Weakened routers that the gateway's fuzz must find, share 1 of 3. */
import { declareGatewayMutations } from '../../fuzz/gateway-suite.js';

declareGatewayMutations(0, 3);
