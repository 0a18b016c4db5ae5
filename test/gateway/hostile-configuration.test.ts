/** A configuration that is valid by its form, however odd, never ends the routers that read it. */
import test from 'ava';
import fc from 'fast-check';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import {
  KINDS,
  type RequestKind,
  simulationConfiguration,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import type {
  Route,
  RoutingConfiguration,
  Service,
} from '../../src/state/routing/configuration.js';

const SEED = 32;
const FIRST_VERSION = 2;
const REQUEST_KINDS: readonly RequestKind[] = [
  'plain-safe',
  'plain-unsafe',
  'stream-resumable',
  'stream-once',
];
const SETTLED_MS = 4_000;

const oddNumber = fc.constantFrom(-1, 0, 1, 0.5, 1e12);
const oddTargets: fc.Arbitrary<Route['targets']> = fc.constantFrom(
  [],
  [{ service: 'nowhere', weight: 1 }],
  [{ service: 'plain', weight: 0 }],
  [
    { service: 'generation', weight: 0 },
    { service: 'generation', weight: -3 },
  ],
);

const changeOfRoute = fc.record(
  {
    targets: oddTargets,
    timeoutMs: oddNumber,
    objectiveMs: oddNumber,
    priority: oddNumber,
    maximumAttempts: oddNumber,
    pathPrefix: fc.constantFrom('/', '', '/stream/stream-once/'),
  },
  { requiredKeys: [] },
);

const changeOfService = fc.record({
  maximumConnections: oddNumber,
  slots: oddNumber,
  tokens: oddNumber,
});

function changedService(
  service: Service,
  {
    maximumConnections,
    slots,
    tokens,
  }: { maximumConnections: number; slots: number; tokens: number },
): Service {
  const engine = service.engine && {
    ...service.engine,
    slots,
    cacheCapacityTokens: tokens,
    linkMbps: tokens,
    maximumEventCalls: slots,
  };
  return { ...service, maximumConnections, engine };
}

const anyConfiguration: fc.Arbitrary<RoutingConfiguration> = fc
  .tuple(changeOfRoute, changeOfService, fc.boolean(), fc.boolean())
  .map(([route, service, hasTenants, hasServices]) => {
    const tenants = hasTenants ? [{ name: 'tenant-1', keys: ['key-1a'] }] : [];
    const sound = simulationConfiguration(FIRST_VERSION, tenants);
    return {
      ...sound,
      routes: sound.routes.map((each) => ({ ...each, ...route })),
      services: hasServices ? sound.services.map((each) => changedService(each, service)) : [],
    };
  });

test('routers go on after any configuration, and serve again after a sound one', async (t) => {
  const property = fc.asyncProperty(anyConfiguration, async (configuration) => {
    const world = await GatewaySimulation.create(SEED);
    world.store.put(KINDS.configuration, 'main', configuration);
    await world.clock.advance(100);
    for (const [index, kind] of REQUEST_KINDS.entries()) world.request(index, kind, 'tenant-1', 0);
    await world.clock.advance(SETTLED_MS);
    const tenants = [{ name: 'tenant-1', keys: ['key-1a'] }];
    world.store.put(
      KINDS.configuration,
      'main',
      simulationConfiguration(FIRST_VERSION + 1, tenants),
    );
    await world.clock.advance(100);
    for (const [index, kind] of REQUEST_KINDS.entries()) world.request(index, kind, 'tenant-1', 0);
    await world.clock.advance(SETTLED_MS);
    const last = world.requests.slice(-REQUEST_KINDS.length);
    t.deepEqual(
      last.map(({ reply }) => reply.ending),
      REQUEST_KINDS.map(() => 'whole'),
    );
  });
  await fc.assert(property, { seed: 11, numRuns: 40 });
});
