/** Guards against broken promises to callers whose requests wait in a router while faults occur. */
import test from 'ava';
import { declareGatewayFuzz } from '../../fuzz/gateway-suite.js';
import { requestQueueCommands } from '../../fuzz/request-queue-commands.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { sendAllKinds } from '../../src/lab/gateway-simulation/simulation-traffic.js';

declareGatewayFuzz([71, 72], requestQueueCommands);

test.serial('the commands of the fuzz test make requests wait', async (t) => {
  const simulation = await GatewaySimulation.create(1);
  const ENGINES = 5;
  for (let index = 0; index < ENGINES; index += 1) {
    simulation.engine(index).capacity = { slots: 4, queued: 4, serviceMs: 40 };
  }
  await sendAllKinds(simulation, 1_000, 2);
  const { queuedRequests, dequeuedRequests } = simulation.statistics(0);
  t.log(queuedRequests, dequeuedRequests);
  t.true(queuedRequests > 0 && dequeuedRequests > 0);
  await simulation.settle();
});
