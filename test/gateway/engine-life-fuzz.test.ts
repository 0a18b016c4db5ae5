/** The gateway's stateful fuzz on engines that start again under their names. */
import { declareEngineLifeFuzz } from '../../fuzz/gateway-suite.js';

declareEngineLifeFuzz([303, 404]);
