/** Commands of the stateful fuzz test: requests of each kind, and faults of every component. */
import fc from 'fast-check';
import {
  SIMULATION_AGENTS,
  SIMULATION_BACKENDS,
  SIMULATION_ENGINES,
  SIMULATION_ROUTERS,
  SIMULATION_TENANTS,
  type SimulationVersion,
} from '../src/lab/simulation/simulation-settings.js';
import type { DeploymentSimulation } from '../src/lab/simulation/deployment-simulation.js';

/** Empty model: commands keep no state, and the oracle reads the simulation instead. */
export type NoModel = Record<string, never>;

/** A command that runs on a simulated deployment. */
export type SimulationCommand = fc.AsyncCommand<NoModel, DeploymentSimulation>;

/** Creates a command that may run at any time. */
function command(
  description: string,
  action: (simulation: DeploymentSimulation) => Promise<void> | void,
): SimulationCommand {
  return {
    check: () => true,
    run: async (_model, simulation) => {
      await action(simulation);
    },
    toString: () => description,
  };
}

const router = fc.nat(SIMULATION_ROUTERS - 1);
const agent = fc.nat(SIMULATION_AGENTS - 1);
const engine = fc.nat(SIMULATION_ENGINES - 1);
const backend = fc.nat(SIMULATION_BACKENDS - 1);
const tenant = fc.constantFrom(...SIMULATION_TENANTS);
const deadline = fc.constantFrom(400, 3_000, 10_000);
const version: fc.Arbitrary<SimulationVersion> = fc.constantFrom('v1', 'v2');

const generate = fc
  .tuple(agent, tenant, fc.nat(2), deadline, fc.integer({ min: 1, max: 4 }))
  .map(([agentIndex, name, branch, deadlineMs, count]) =>
    command(
      `generate(${agentIndex}, ${name}, ${branch}, ${deadlineMs}, x${count})`,
      (simulation) => {
        for (let index = 0; index < count; index += 1) {
          simulation.submitGeneration(agentIndex, name, branch, deadlineMs);
        }
      },
    ),
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
    command(`operate(${agentIndex}, ${name}, ${operation}, ${key}, ${deadlineMs})`, (simulation) =>
      simulation.submitOperation(agentIndex, name, operation, key, deadlineMs),
    ),
  );

const hangUp = fc.nat(5).map((index) =>
  command(`hangUp(${index})`, (simulation) => {
    const open = simulation.requests.filter((request) => !request.isEnded);
    open[index % Math.max(1, open.length)]?.disconnect();
  }),
);

const advance = fc
  .constantFrom(5, 40, 150, 600, 2_500, 7_000)
  .map((ms) => command(`advance(${ms})`, (simulation) => simulation.clock.advance(ms)));

const crashRouter = router.map((index) =>
  command(`crashRouter(${index})`, (simulation) => simulation.crashRouter(index)),
);

const restartRouters = fc.constant(undefined).map(() =>
  command('restartRouters', (simulation) => {
    for (let index = 0; index < SIMULATION_ROUTERS; index += 1) simulation.restartRouter(index);
  }),
);

const herdRestart = fc.constant(undefined).map(() =>
  command('herdRestart', (simulation) => {
    for (let index = 0; index < SIMULATION_ROUTERS; index += 1) simulation.crashRouter(index);
    for (let index = 0; index < SIMULATION_ROUTERS; index += 1) simulation.restartRouter(index);
  }),
);

const stopRouter = router.map((index) =>
  command(`stopRouter(${index})`, (simulation) => {
    void simulation.stopRouter(index);
  }),
);

const stopAgent = agent.map((index) =>
  command(`stopAgent(${index})`, (simulation) => {
    void simulation.stopAgent(index);
  }),
);

const crashEngine = engine.map((index) =>
  command(`crashEngine(${index})`, (simulation) => simulation.engines[index]?.crash()),
);

const restartEngine = fc.tuple(engine, version).map(([index, name]) =>
  command(`restartEngine(${index}, ${name})`, (simulation) => {
    const core = simulation.engines[index];
    if (core && !core.isAlive) core.restart(simulation.weightsOf(name));
  }),
);

const loadWeights = fc
  .tuple(engine, version)
  .map(([index, name]) =>
    command(`loadWeights(${index}, ${name})`, (simulation) => simulation.loadWeights(index, name)),
  );

const upgrade = version.map((name) =>
  command(`upgrade(${name})`, (simulation) => {
    for (let index = 0; index < SIMULATION_ENGINES; index += 1) simulation.loadWeights(index, name);
    simulation.writeTemplates(name, 0);
  }),
);

const stallEngine = fc
  .tuple(engine, fc.boolean())
  .map(([index, stalled]) =>
    command(`stallEngine(${index}, ${stalled})`, (simulation) =>
      simulation.engines[index]?.setStalled(stalled),
    ),
  );

const crashBackend = backend.map((index) =>
  command(`crashBackend(${index})`, (simulation) => simulation.backends[index]?.crash()),
);

const restartBackends = fc.constant(undefined).map(() =>
  command('restartBackends', (simulation) => {
    for (const core of simulation.backends) if (!core.isAlive) core.restart();
  }),
);

const pauseRouter = router.map((index) =>
  command(`pauseRouter(${index})`, (simulation) => simulation.pauseRouter(index)),
);

const cut = fc
  .tuple(router, fc.constantFrom('router', 'agent', 'engine', 'backend'), fc.nat(3))
  .map(([index, kind, other]) =>
    command(`cut(router-${index}, ${kind}-${other})`, (simulation) =>
      simulation.cut(`router-${index}`, `${kind}-${other}`),
    ),
  );

const heal = fc.constant(undefined).map(() => command('heal', (simulation) => simulation.heal()));

const platform = fc.constantFrom('down', 'up', 'slow').map((state) =>
  command(`platform(${state})`, (simulation) => {
    const SLOW_MS = 1_500;
    simulation.store.faults.delayMs = state === 'slow' ? SLOW_MS : 0;
    simulation.setPlatformDown(state === 'down');
  }),
);

const staleWatches = fc.integer({ min: 1, max: 4 }).map((count) =>
  command(`staleWatches(${count})`, (simulation) => {
    simulation.store.faults.staleWatches = count;
  }),
);

const network = fc
  .tuple(fc.constantFrom(1, 20, 150), fc.constantFrom(0, 0.05, 0.3))
  .map(([jitterMs, loss]) =>
    command(`network(jitter ${jitterMs}, loss ${loss})`, (simulation) => {
      Object.assign(simulation.network.faults, {
        jitterMs,
        datagramLoss: loss,
        datagramDuplication: loss,
      });
    }),
  );

const feedFaults = fc
  .tuple(engine, fc.constantFrom(0, 0.2), fc.constantFrom(50, 2_000))
  .map(([index, lossChance, delayMs]) =>
    command(`feedFaults(${index}, ${lossChance}, ${delayMs})`, (simulation) => {
      const core = simulation.engines[index];
      if (core) Object.assign(core.eventFaults, { lossChance, delayMs });
    }),
  );

const leaving = fc
  .tuple(engine, fc.boolean())
  .map(([index, value]) =>
    command(`leaving(${index}, ${value})`, (simulation) => simulation.setLeaving(index, value)),
  );

const configure = fc.tuple(version, fc.nat(3)).map(([name, priority]) =>
  command(`configure(${name}, ${priority})`, (simulation) => {
    simulation.writeTemplates(name, priority);
  }),
);

/** Generates sequences of commands. Requests and clock advances are drawn most often. */
export function simulationCommands(maximum: number): fc.Arbitrary<Iterable<SimulationCommand>> {
  return fc.commands<NoModel, DeploymentSimulation, false>(
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
    ] as fc.Arbitrary<SimulationCommand>[],
    { maxCommands: maximum, size: 'max' },
  );
}
