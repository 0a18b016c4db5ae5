/**
 * A configuration with a valid schema but extreme values must not stop the routers that read it.
 */
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

const extremeNumber = fc.constantFrom(-1, 0, 1, 0.5, 1e12);
const extremeTargets: fc.Arbitrary<Route['targets']> = fc.constantFrom(
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
    targets: extremeTargets,
    timeoutMs: extremeNumber,
    objectiveMs: extremeNumber,
    priority: extremeNumber,
    maximumAttempts: extremeNumber,
    pathPrefix: fc.constantFrom('/', '', '/stream/stream-once/'),
  },
  { requiredKeys: [] },
);

const changeOfService = fc.record({
  maximumConnections: extremeNumber,
  slots: extremeNumber,
  tokens: extremeNumber,
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
    const valid = simulationConfiguration(FIRST_VERSION, tenants);
    return {
      ...valid,
      routes: valid.routes.map((each) => ({ ...each, ...route })),
      services: hasServices ? valid.services.map((each) => changedService(each, service)) : [],
    };
  });

test('routers keep running with any configuration and serve again with a valid one', async (t) => {
  const property = fc.asyncProperty(anyConfiguration, async (configuration) => {
    const simulation = await GatewaySimulation.create(SEED);
    simulation.store.put(KINDS.configuration, 'main', configuration);
    await simulation.clock.advance(100);
    for (const [index, kind] of REQUEST_KINDS.entries())
      simulation.request(index, kind, 'tenant-1', 0);
    await simulation.clock.advance(SETTLED_MS);
    const tenants = [{ name: 'tenant-1', keys: ['key-1a'] }];
    simulation.store.put(
      KINDS.configuration,
      'main',
      simulationConfiguration(FIRST_VERSION + 1, tenants),
    );
    await simulation.clock.advance(100);
    for (const [index, kind] of REQUEST_KINDS.entries())
      simulation.request(index, kind, 'tenant-1', 0);
    await simulation.clock.advance(SETTLED_MS);
    const last = simulation.requests.slice(-REQUEST_KINDS.length);
    t.deepEqual(
      last.map(({ reply }) => reply.ending),
      REQUEST_KINDS.map(() => 'whole'),
    );
  });
  await fc.assert(property, { seed: 11, numRuns: 40 });
});
