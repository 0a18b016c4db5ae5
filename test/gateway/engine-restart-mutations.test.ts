/** Checks that the fuzz test detects state kept from an engine's previous incarnation. */
import { declareEngineRestartMutations } from '../../fuzz/gateway-suite.js';

declareEngineRestartMutations();
