/**
 * Guards against streams joined from two builds of engines at routers that are out of step while a build
 * joins: cut off, alone or together, or standing still.
 */
import { cutBuildCommands } from '../../fuzz/cut-build-commands.js';
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';

const RUNS = 60;

// On the routers before incident 0022, this seed joins streams in its 41st run.
declareGatewayFuzz([2], cutBuildCommands, RUNS);
