/**
 * Guards against responses that a router resets although their engines are only silent for a second
 * or so, beside planned stops, changed configurations, new weights and engines that reject.
 */
import test from 'ava';
import { fuzzGateway } from '../../fuzz/gateway-run.js';
import { declareMutations } from '../../fuzz/gateway-suite.js';
import { silentEngineCommands } from '../../fuzz/silent-engine-commands.js';
import { SILENT_ENGINE_MUTATIONS } from '../../fuzz/silent-engine-mutations.js';
import { countNeedlessFailures } from '../../src/lab/gateway-simulation/completion-oracle.js';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  GENERATION_SERVICE,
  PLAIN_SERVICE,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

const RUNS = 200;
const TIMEOUT_MS = 170_000;

for (const seed of [81, 82, 83]) {
  test.serial(`no rule is broken while engines are silent, seed ${seed}`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const options = { seed, runs: RUNS, commands: silentEngineCommands, isShrunk: false };
    const result = await fuzzGateway(options);
    t.is(result.kind, 'passed', result.kind === 'failed' ? result.report : '');
    t.is(result.runs, RUNS);
  });
}

declareMutations(SILENT_ENGINE_MUTATIONS, silentEngineCommands);

test.serial('requests are answered while engines are silent by turns and together', async (t) => {
  const SILENT_MS = [300, 700, 1_200];
  const PERIOD_MS = 3_000;
  const GAP_MS = 20;
  const ENGINES = 5;
  const simulation = await GatewaySimulation.create(1);
  for (const silentMs of SILENT_MS) {
    for (let index = 0; index < ENGINES; index += 1) {
      simulation.engine(index).silence(simulation.now + silentMs);
      await sendAllKinds(simulation, PERIOD_MS, GAP_MS);
    }
    for (const service of [GENERATION_SERVICE, PLAIN_SERVICE])
      simulation.fleet.silence(service, silentMs);
    await sendAllKinds(simulation, PERIOD_MS, GAP_MS);
  }
  await simulation.settle();
  t.log(
    `${countNeedlessFailures(simulation)} of ${simulation.requests.length} requests failed although an engine would have responded in time`,
  );
  t.deepEqual(findBreaches(simulation), []);
  t.true(simulation.requests.every(({ reply }) => reply.ending !== undefined));
});
