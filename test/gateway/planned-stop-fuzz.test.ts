/**
 * Guards against streams that a stopping router begins although it ends before they do, also when it is
 * short of processor time and notices its signal late.
 */
import { declareGatewayFuzz, declareMutations } from '../../fuzz/gateway-suite.js';
import { plannedStopCommands } from '../../fuzz/planned-stop-commands.js';
import { PLANNED_STOP_MUTATIONS } from '../../fuzz/planned-stop-mutations.js';

const RUNS = 60;

declareGatewayFuzz([91], plannedStopCommands, RUNS);
declareMutations(PLANNED_STOP_MUTATIONS, plannedStopCommands, RUNS);
