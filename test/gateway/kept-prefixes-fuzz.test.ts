/** What a router believes that an engine keeps, while the engine restarts under its name. */
import { declareKeptPrefixesFuzz } from '../../fuzz/gateway-suite.js';

declareKeptPrefixesFuzz(1);
