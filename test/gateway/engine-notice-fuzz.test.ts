/** Guards against requests to engines that are shutting down or have requested a backoff. */
import { engineNoticeCommands } from '../../fuzz/engine-notice-commands.js';
import { ENGINE_NOTICE_MUTATIONS } from '../../fuzz/engine-notice-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([21, 22], engineNoticeCommands);
declareMutations(ENGINE_NOTICE_MUTATIONS, engineNoticeCommands);
