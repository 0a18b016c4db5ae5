/** Routers that keep something of an engine's former life, which the gateway's fuzz must find. */
import { declareEngineLifeMutations } from '../../fuzz/gateway-suite.js';

declareEngineLifeMutations();
