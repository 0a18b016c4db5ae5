/** Guards against rule violations when engines restart under their names. */
import { declareEngineRestartFuzz } from '../../fuzz/gateway-suite.js';

declareEngineRestartFuzz([303, 404]);
