/** Named failures on the simulated deployment, each a promise of the brief. */
import test from 'ava';
import { INITIAL_CREDIT } from '../src/coordination/agent/agent-call.js';
import { ALL_PROTECTIONS } from '../src/coordination/router/settings.js';
import { expectedText } from '../src/lab/engine/token-model.js';
import { findViolations } from '../src/lab/simulation/oracle.js';
import { World } from '../src/lab/simulation/world.js';

const LONG_MS = 20_000;

function failuresOf(world: World): string[] {
  return world.requests.flatMap((request) =>
    request.ends.flatMap((end) => (end.kind === 'failed' ? [end.failed.failure.message] : [])),
  );
}

async function streamsInProgress(world: World): Promise<void> {
  for (let index = 0; index < 12; index += 1) {
    world.generate(index % 2, index % 3 === 0 ? 'tenant-a' : 'tenant-b', index % 3, LONG_MS);
  }
  await world.clock.advance(200);
}

test('streams outlive the crash of each router in turn', async (t) => {
  const world = await World.create(5);
  for (const index of [0, 1, 2]) {
    await streamsInProgress(world);
    world.crashRouter(index);
    await world.clock.advance(2_000);
    world.restartRouter(index);
    await world.clock.advance(2_000);
  }
  await world.settle();
  t.deepEqual(findViolations(world), []);
  t.deepEqual(failuresOf(world), []);
  const reattached = world.routers.reduce(
    (sum, { node }) => sum + node.statistics.reattachments,
    0,
  );
  t.true(reattached > 0);
});

test('streams outlive the crash of an engine', async (t) => {
  const world = await World.create(6);
  await streamsInProgress(world);
  world.engines[0]?.crash();
  world.engines[2]?.crash();
  await world.settle();
  t.deepEqual(findViolations(world), []);
  t.deepEqual(failuresOf(world), []);
});

test('streams outlive an engine that hangs with its connections open', async (t) => {
  const world = await World.create(6);
  await streamsInProgress(world);
  world.engines[0]?.setStalled(true);
  world.engines[2]?.setStalled(true);
  await world.clock.advance(LONG_MS);
  t.true(world.requests.every((request) => request.isEnded));
  await world.settle();
  t.deepEqual(findViolations(world), []);
  t.deepEqual(failuresOf(world), []);
});

test('a slow caller holds its stream back at the engine, and still gets it whole', async (t) => {
  const world = await World.create(12);
  const agent = world.agents[0]?.node;
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
  await world.clock.advance(30_000);
  t.is(texts.length, INITIAL_CREDIT);
  const relayed = world.routers.reduce((sum, { node }) => sum + node.statistics.chunks, 0);
  t.true(relayed < 2 * INITIAL_CREDIT, 'a router holds no more than its mark beyond the credit');
  for (let taken = 0; taken < 10 && !finished; taken += 1) {
    handle.consumed(INITIAL_CREDIT);
    await world.clock.advance(5_000);
  }
  t.true(finished);
  t.is(texts.join(''), expectedText(world.tokenModel, prompt, MAX_TOKENS));
});

test('a rolling planned stop of all routers and agents cuts nothing', async (t) => {
  const world = await World.create(7);
  const load = async (): Promise<void> => {
    for (let index = 0; index < 20; index += 1) {
      world.generate(index % 2, 'tenant-a', index % 3, LONG_MS);
      world.operate(index % 2, 'tenant-b', index % 2 === 0 ? 'menu' : 'hold', undefined, LONG_MS);
      await world.clock.advance(50);
    }
  };
  for (const index of [0, 1, 2]) {
    const stopped = world.stopRouter(index);
    await load();
    await world.clock.advance(5_000);
    await stopped;
    world.restartRouter(index);
    await load();
  }
  for (const index of [0, 1]) {
    const stopped = world.stopAgent(index);
    await load();
    await world.clock.advance(5_000);
    await stopped;
    world.restartAgent(index);
    await world.clock.advance(1_000);
  }
  await world.settle();
  t.deepEqual(findViolations(world), []);
  t.deepEqual(failuresOf(world), []);
});

test('routers that restart in a herd serve within a second while the object API is down', async (t) => {
  const world = await World.create(8);
  world.setPlatformDown(true);
  for (const index of [0, 1, 2]) world.crashRouter(index);
  await world.clock.advance(500);
  for (const index of [0, 1, 2]) world.restartRouter(index);
  await world.clock.advance(1_000);
  t.deepEqual(
    world.routers.map(({ node }) => node.isReady),
    [true, true, true],
  );
  world.generate(0, 'tenant-a', 0, LONG_MS);
  world.operate(1, 'tenant-a', 'hold', undefined, LONG_MS);
  await world.settle();
  t.deepEqual(failuresOf(world), []);
});

test('with every engine down the work sent stays within 1.2 times what callers sent', async (t) => {
  const attemptsWith = async (retryBudget: boolean): Promise<number> => {
    const world = await World.create(9, { ...ALL_PROTECTIONS, retryBudget });
    for (const core of world.engines) core.crash();
    const before = world.routers.reduce((sum, { node }) => sum + node.statistics.attempts, 0);
    const REQUESTS = 300;
    for (let index = 0; index < REQUESTS; index += 1) {
      world.generate(index % 2, 'tenant-a', index % 3, LONG_MS);
      await world.clock.advance(10);
    }
    await world.clock.advance(LONG_MS);
    t.true(world.requests.every((request) => request.isEnded));
    const after = world.routers.reduce((sum, { node }) => sum + node.statistics.attempts, 0);
    return (after - before) / REQUESTS;
  };
  t.true((await attemptsWith(true)) <= 1.2);
});

test('a caller who hangs up ends the work at the engine', async (t) => {
  const world = await World.create(10);
  world.generate(0, 'tenant-a', 0, LONG_MS);
  await world.clock.advance(100);
  t.is(
    world.engines.reduce((sum, core) => sum + core.activeRequests, 0),
    1,
  );
  world.requests[0]?.hangUp();
  await world.clock.advance(100);
  t.is(
    world.engines.reduce((sum, core) => sum + core.activeRequests, 0),
    0,
  );
});

test('an idempotency key used twice runs once and gets the same outcome', async (t) => {
  const world = await World.create(11);
  world.operate(0, 'tenant-a', 'hold', 'key', LONG_MS);
  await world.clock.advance(1_000);
  world.operate(1, 'tenant-a', 'hold', 'key', LONG_MS);
  await world.settle();
  t.deepEqual(
    world.requests.map((request) => request.ends[0]?.kind),
    ['outcome', 'outcome'],
  );
  t.is(world.backendStore.runsOf(world.requests[0]?.request.requestId ?? ''), 1);
});
