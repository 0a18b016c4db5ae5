/** The gateway's stateful fuzz on engines that start again under their names. */
import test from 'ava';
import { engineLifeCommands } from '../../fuzz/engine-life-commands.js';
import { fuzzGateway } from '../../fuzz/gateway-run.js';
import { declareEngineLifeFuzz } from '../../fuzz/gateway-suite.js';

declareEngineLifeFuzz([303]);

test.serial.failing('no rule is broken while engines start again, seed 404', async (t) => {
  const options = { seed: 404, runs: 60, commands: engineLifeCommands, isShrunk: false };
  const result = await fuzzGateway(options);
  t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
});
