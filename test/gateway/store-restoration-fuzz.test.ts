/** Guards against rule violations after the store is restored from an older copy. */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { storeRestorationCommands } from '../../fuzz/store-restoration-commands.js';
import { STORE_RESTORATION_MUTATIONS } from '../../fuzz/store-restoration-mutations.js';

declareGatewayFuzz([41, 42], storeRestorationCommands);
declareMutations(STORE_RESTORATION_MUTATIONS, storeRestorationCommands);
