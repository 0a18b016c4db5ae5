/** The gateway's stateful fuzz, second share of the seeds. */
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([303, 404]);
