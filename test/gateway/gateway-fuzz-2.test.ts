/** Guards against rule violations of the gateway under faults, second half of the seeds. */
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([303, 404]);
