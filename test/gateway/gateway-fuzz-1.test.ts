/** The gateway's stateful fuzz, first share of the seeds. */
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([101, 202]);
