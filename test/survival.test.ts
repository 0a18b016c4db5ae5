/**
 * Guards against lost or changed responses, repeated work and excess retries when routers, agents,
 * engines or the platform fail, on the simulated deployment.
 */
import test from 'ava';
import { INITIAL_CREDIT } from '../src/coordination/agent/agent-call.js';
import { ALL_PROTECTIONS } from '../src/coordination/router/settings.js';
import { expectedText } from '../src/lab/engine/token-model.js';
import { findViolations } from '../src/lab/simulation/oracle.js';
import { DeploymentSimulation } from '../src/lab/simulation/deployment-simulation.js';

const LONG_MS = 20_000;

function failuresOf(simulation: DeploymentSimulation): string[] {
  return simulation.requests.flatMap((request) =>
    request.ends.flatMap((end) => (end.kind === 'failed' ? [end.failed.failure.message] : [])),
  );
}

async function streamsInProgress(simulation: DeploymentSimulation): Promise<void> {
  for (let index = 0; index < 12; index += 1) {
    simulation.submitGeneration(
      index % 2,
      index % 3 === 0 ? 'tenant-a' : 'tenant-b',
      index % 3,
      LONG_MS,
    );
  }
  await simulation.clock.advance(200);
}

test('streams survive the crash of each router in turn', async (t) => {
  const simulation = await DeploymentSimulation.create(5);
  for (const index of [0, 1, 2]) {
    await streamsInProgress(simulation);
    simulation.crashRouter(index);
    await simulation.clock.advance(2_000);
    simulation.restartRouter(index);
    await simulation.clock.advance(2_000);
  }
  await simulation.settle();
  t.deepEqual(findViolations(simulation), []);
  t.deepEqual(failuresOf(simulation), []);
  const reattached = simulation.routers.reduce(
    (sum, { node }) => sum + node.statistics.reattachments,
    0,
  );
  t.true(reattached > 0);
});

test('streams survive the crash of two engines', async (t) => {
  const simulation = await DeploymentSimulation.create(6);
  await streamsInProgress(simulation);
  simulation.engines[0]?.crash();
  simulation.engines[2]?.crash();
  await simulation.settle();
  t.deepEqual(findViolations(simulation), []);
  t.deepEqual(failuresOf(simulation), []);
});

test('streams survive engines that stall with open connections', async (t) => {
  const simulation = await DeploymentSimulation.create(6);
  await streamsInProgress(simulation);
  simulation.engines[0]?.setStalled(true);
  simulation.engines[2]?.setStalled(true);
  await simulation.clock.advance(LONG_MS);
  t.true(simulation.requests.every((request) => request.isEnded));
  await simulation.settle();
  t.deepEqual(findViolations(simulation), []);
  t.deepEqual(failuresOf(simulation), []);
});

test('a slow caller slows its stream at the engine and receives it completely', async (t) => {
  const simulation = await DeploymentSimulation.create(12);
  const agent = simulation.agents[0]?.node;
  if (!agent) throw new Error('no agent');
  const MAX_TOKENS = 1_200;
  const prompt = 'a caller that reads slowly';
  const texts: string[] = [];
  let finished = false;
  const handle = agent.submit(
    {
      kind: 'generation',
      requestId: 'slow',
      tenant: 'tenant-a',
      deadlineMs: 120_000,
      priority: 0,
      keyed: false,
      routeKey: 1n,
      model: 'model',
      prompt: new TextEncoder().encode(prompt),
      maxTokens: MAX_TOKENS,
    },
    {
      onTexts: (_sequence, fresh) => texts.push(...fresh),
      onFinished: () => (finished = true),
      onOutcome: () => undefined,
      onFailed: (failed) => t.fail(failed.failure.message),
    },
  );
  await simulation.clock.advance(30_000);
  t.is(texts.length, INITIAL_CREDIT);
  const relayed = simulation.routers.reduce((sum, { node }) => sum + node.statistics.chunks, 0);
  t.true(relayed < 2 * INITIAL_CREDIT, 'a router buffers no more than its limit beyond the credit');
  for (let taken = 0; taken < 10 && !finished; taken += 1) {
    handle.consumed(INITIAL_CREDIT);
    await simulation.clock.advance(5_000);
  }
  t.true(finished);
  t.is(texts.join(''), expectedText(simulation.tokenModel, prompt, MAX_TOKENS));
});

test('a rolling graceful stop of all routers and agents interrupts no request', async (t) => {
  const simulation = await DeploymentSimulation.create(7);
  const load = async (): Promise<void> => {
    for (let index = 0; index < 20; index += 1) {
      simulation.submitGeneration(index % 2, 'tenant-a', index % 3, LONG_MS);
      simulation.submitOperation(
        index % 2,
        'tenant-b',
        index % 2 === 0 ? 'menu' : 'hold',
        undefined,
        LONG_MS,
      );
      await simulation.clock.advance(50);
    }
  };
  for (const index of [0, 1, 2]) {
    const stopped = simulation.stopRouter(index);
    await load();
    await simulation.clock.advance(5_000);
    await stopped;
    simulation.restartRouter(index);
    await load();
  }
  for (const index of [0, 1]) {
    const stopped = simulation.stopAgent(index);
    await load();
    await simulation.clock.advance(5_000);
    await stopped;
    simulation.restartAgent(index);
    await simulation.clock.advance(1_000);
  }
  await simulation.settle();
  t.deepEqual(findViolations(simulation), []);
  t.deepEqual(failuresOf(simulation), []);
});

test('routers that restart during an object API outage are ready within a second', async (t) => {
  const simulation = await DeploymentSimulation.create(8);
  simulation.setPlatformDown(true);
  for (const index of [0, 1, 2]) simulation.crashRouter(index);
  await simulation.clock.advance(500);
  for (const index of [0, 1, 2]) simulation.restartRouter(index);
  await simulation.clock.advance(1_000);
  t.deepEqual(
    simulation.routers.map(({ node }) => node.isReady),
    [true, true, true],
  );
  simulation.submitGeneration(0, 'tenant-a', 0, LONG_MS);
  simulation.submitOperation(1, 'tenant-a', 'hold', undefined, LONG_MS);
  await simulation.settle();
  t.deepEqual(failuresOf(simulation), []);
});

test('with every engine down, routers make at most 1.2 attempts per request', async (t) => {
  const attemptsWith = async (retryBudget: boolean): Promise<number> => {
    const simulation = await DeploymentSimulation.create(9, { ...ALL_PROTECTIONS, retryBudget });
    for (const core of simulation.engines) core.crash();
    const before = simulation.routers.reduce((sum, { node }) => sum + node.statistics.attempts, 0);
    const REQUESTS = 300;
    for (let index = 0; index < REQUESTS; index += 1) {
      simulation.submitGeneration(index % 2, 'tenant-a', index % 3, LONG_MS);
      await simulation.clock.advance(10);
    }
    await simulation.clock.advance(LONG_MS);
    t.true(simulation.requests.every((request) => request.isEnded));
    const after = simulation.routers.reduce((sum, { node }) => sum + node.statistics.attempts, 0);
    return (after - before) / REQUESTS;
  };
  t.true((await attemptsWith(true)) <= 1.2);
});

test('a request whose caller disconnects ends at the engine', async (t) => {
  const simulation = await DeploymentSimulation.create(10);
  simulation.submitGeneration(0, 'tenant-a', 0, LONG_MS);
  await simulation.clock.advance(100);
  t.is(
    simulation.engines.reduce((sum, core) => sum + core.activeRequests, 0),
    1,
  );
  simulation.requests[0]?.disconnect();
  await simulation.clock.advance(100);
  t.is(
    simulation.engines.reduce((sum, core) => sum + core.activeRequests, 0),
    0,
  );
});

test('two operations with the same idempotency key run once and both get an outcome', async (t) => {
  const simulation = await DeploymentSimulation.create(11);
  simulation.submitOperation(0, 'tenant-a', 'hold', 'key', LONG_MS);
  await simulation.clock.advance(1_000);
  simulation.submitOperation(1, 'tenant-a', 'hold', 'key', LONG_MS);
  await simulation.settle();
  t.deepEqual(
    simulation.requests.map((request) => request.ends[0]?.kind),
    ['outcome', 'outcome'],
  );
  t.is(simulation.backendStore.runsOf(simulation.requests[0]?.request.requestId ?? ''), 1);
});
