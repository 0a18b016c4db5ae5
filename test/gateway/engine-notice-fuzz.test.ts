/** The gateway's fuzz with engines that leave while the store is out, and engines that ask for pauses. */
import { engineNoticeCommands } from '../../fuzz/engine-notice-commands.js';
import { ENGINE_NOTICE_MUTATIONS } from '../../fuzz/engine-notice-mutations.js';
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';

declareGatewayFuzz([21, 22], engineNoticeCommands);
declareMutations(ENGINE_NOTICE_MUTATIONS, engineNoticeCommands);
