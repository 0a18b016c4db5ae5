/** Guards against rule violations of the gateway under faults, first half of the seeds. */
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([101, 202]);
