/** Guards against wrong estimates of cached prefixes after an engine's restart. */
import { declareCachedPrefixesFuzz } from '../../fuzz/gateway-suite.js';

declareCachedPrefixesFuzz(1);
