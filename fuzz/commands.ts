/** Commands of the stateful fuzz: requests of each kind and every fault the brief names. */
import fc from 'fast-check';
import {
  WORLD_AGENTS,
  WORLD_BACKENDS,
  WORLD_ENGINES,
  WORLD_ROUTERS,
  WORLD_TENANTS,
  type WorldVersion,
} from '../src/lab/simulation/world-settings.js';
import type { World } from '../src/lab/simulation/world.js';

/** What the commands themselves must remember: nothing, since the oracle reads the world. */
export type NoModel = Record<string, never>;

/** A command over a simulated deployment. */
export type WorldCommand = fc.AsyncCommand<NoModel, World>;

/** Makes a command from a description and an action. */
function command(
  description: string,
  action: (world: World) => Promise<void> | void,
): WorldCommand {
  return {
    check: () => true,
    run: async (_model, world) => {
      await action(world);
    },
    toString: () => description,
  };
}

const router = fc.nat(WORLD_ROUTERS - 1);
const agent = fc.nat(WORLD_AGENTS - 1);
const engine = fc.nat(WORLD_ENGINES - 1);
const backend = fc.nat(WORLD_BACKENDS - 1);
const tenant = fc.constantFrom(...WORLD_TENANTS);
const deadline = fc.constantFrom(400, 3_000, 10_000);
const version: fc.Arbitrary<WorldVersion> = fc.constantFrom('v1', 'v2');

const generate = fc
  .tuple(agent, tenant, fc.nat(2), deadline, fc.integer({ min: 1, max: 4 }))
  .map(([agentIndex, name, branch, deadlineMs, count]) =>
    command(`generate(${agentIndex}, ${name}, ${branch}, ${deadlineMs}, x${count})`, (world) => {
      for (let index = 0; index < count; index += 1) {
        world.generate(agentIndex, name, branch, deadlineMs);
      }
    }),
  );

const operate = fc
  .tuple(
    agent,
    tenant,
    fc.constantFrom('menu' as const, 'hold' as const, 'hold' as const),
    fc.constantFrom(undefined, 'key-1', 'key-2'),
    deadline,
  )
  .map(([agentIndex, name, operation, key, deadlineMs]) =>
    command(`operate(${agentIndex}, ${name}, ${operation}, ${key}, ${deadlineMs})`, (world) =>
      world.operate(agentIndex, name, operation, key, deadlineMs),
    ),
  );

const hangUp = fc.nat(5).map((index) =>
  command(`hangUp(${index})`, (world) => {
    const open = world.requests.filter((request) => !request.isEnded);
    open[index % Math.max(1, open.length)]?.hangUp();
  }),
);

const advance = fc
  .constantFrom(5, 40, 150, 600, 2_500, 7_000)
  .map((ms) => command(`advance(${ms})`, (world) => world.clock.advance(ms)));

const crashRouter = router.map((index) =>
  command(`crashRouter(${index})`, (world) => world.crashRouter(index)),
);

const restartRouters = fc.constant(undefined).map(() =>
  command('restartRouters', (world) => {
    for (let index = 0; index < WORLD_ROUTERS; index += 1) world.restartRouter(index);
  }),
);

const herdRestart = fc.constant(undefined).map(() =>
  command('herdRestart', (world) => {
    for (let index = 0; index < WORLD_ROUTERS; index += 1) world.crashRouter(index);
    for (let index = 0; index < WORLD_ROUTERS; index += 1) world.restartRouter(index);
  }),
);

const stopRouter = router.map((index) =>
  command(`stopRouter(${index})`, (world) => {
    void world.stopRouter(index);
  }),
);

const stopAgent = agent.map((index) =>
  command(`stopAgent(${index})`, (world) => {
    void world.stopAgent(index);
  }),
);

const crashEngine = engine.map((index) =>
  command(`crashEngine(${index})`, (world) => world.engines[index]?.crash()),
);

const restartEngine = fc.tuple(engine, version).map(([index, name]) =>
  command(`restartEngine(${index}, ${name})`, (world) => {
    const core = world.engines[index];
    if (core && !core.isAlive) core.restart(world.weightsOf(name));
  }),
);

const loadWeights = fc
  .tuple(engine, version)
  .map(([index, name]) =>
    command(`loadWeights(${index}, ${name})`, (world) => world.loadWeights(index, name)),
  );

const upgrade = version.map((name) =>
  command(`upgrade(${name})`, (world) => {
    for (let index = 0; index < WORLD_ENGINES; index += 1) world.loadWeights(index, name);
    world.writeTemplates(name, 0);
  }),
);

const stallEngine = fc
  .tuple(engine, fc.boolean())
  .map(([index, stalled]) =>
    command(`stallEngine(${index}, ${stalled})`, (world) =>
      world.engines[index]?.setStalled(stalled),
    ),
  );

const crashBackend = backend.map((index) =>
  command(`crashBackend(${index})`, (world) => world.backends[index]?.crash()),
);

const restartBackends = fc.constant(undefined).map(() =>
  command('restartBackends', (world) => {
    for (const core of world.backends) if (!core.isAlive) core.restart();
  }),
);

const pauseRouter = router.map((index) =>
  command(`pauseRouter(${index})`, (world) => world.pauseRouter(index)),
);

const cut = fc
  .tuple(router, fc.constantFrom('router', 'agent', 'engine', 'backend'), fc.nat(3))
  .map(([index, kind, other]) =>
    command(`cut(router-${index}, ${kind}-${other})`, (world) =>
      world.cut(`router-${index}`, `${kind}-${other}`),
    ),
  );

const heal = fc.constant(undefined).map(() => command('heal', (world) => world.heal()));

const platform = fc.constantFrom('down', 'up', 'slow').map((state) =>
  command(`platform(${state})`, (world) => {
    const SLOW_MS = 1_500;
    world.store.faults.delayMs = state === 'slow' ? SLOW_MS : 0;
    world.setPlatformDown(state === 'down');
  }),
);

const staleWatches = fc.integer({ min: 1, max: 4 }).map((count) =>
  command(`staleWatches(${count})`, (world) => {
    world.store.faults.staleWatches = count;
  }),
);

const network = fc
  .tuple(fc.constantFrom(1, 20, 150), fc.constantFrom(0, 0.05, 0.3))
  .map(([jitterMs, loss]) =>
    command(`network(jitter ${jitterMs}, loss ${loss})`, (world) => {
      Object.assign(world.network.faults, {
        jitterMs,
        datagramLoss: loss,
        datagramDuplication: loss,
      });
    }),
  );

const feedFaults = fc
  .tuple(engine, fc.constantFrom(0, 0.2), fc.constantFrom(50, 2_000))
  .map(([index, lossChance, delayMs]) =>
    command(`feedFaults(${index}, ${lossChance}, ${delayMs})`, (world) => {
      const core = world.engines[index];
      if (core) Object.assign(core.eventFaults, { lossChance, delayMs });
    }),
  );

const leaving = fc
  .tuple(engine, fc.boolean())
  .map(([index, value]) =>
    command(`leaving(${index}, ${value})`, (world) => world.setLeaving(index, value)),
  );

const configure = fc.tuple(version, fc.nat(3)).map(([name, priority]) =>
  command(`configure(${name}, ${priority})`, (world) => {
    world.writeTemplates(name, priority);
  }),
);

/** All commands; requests and time come most often. */
export function worldCommands(maximum: number): fc.Arbitrary<Iterable<WorldCommand>> {
  return fc.commands<NoModel, World, false>(
    [
      generate,
      generate,
      generate,
      generate,
      operate,
      operate,
      operate,
      advance,
      advance,
      advance,
      advance,
      hangUp,
      crashRouter,
      restartRouters,
      herdRestart,
      stopRouter,
      stopAgent,
      crashEngine,
      restartEngine,
      loadWeights,
      upgrade,
      upgrade,
      stallEngine,
      crashBackend,
      restartBackends,
      pauseRouter,
      cut,
      heal,
      platform,
      staleWatches,
      network,
      feedFaults,
      leaving,
      leaving,
      configure,
    ] as fc.Arbitrary<WorldCommand>[],
    { maxCommands: maximum, size: 'max' },
  );
}
