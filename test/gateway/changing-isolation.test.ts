/**
 * Guards against cached prompts that come into reach of another tenant, although one of the two is
 * isolated, after the configuration has changed which tenants are.
 */
import test from 'ava';
import fc from 'fast-check';
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import { SIMULATION_BOUNDS } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { CacheNamespaces } from '../../src/state/routing/cache-namespace.js';

const SEED = 91;
const TENANTS = ['tenant-1', 'tenant-2'] as const;
const REQUESTS = 12;
const INTERVAL_MS = 40;
/** Longer than a configuration takes to be in force at all routers. */
const IN_FORCE_MS = SIMULATION_BOUNDS.applyMs + 100;
const DOWN_MS = 800;
const SERVING_MS = 3_000;

type Change = readonly [tenant: (typeof TENANTS)[number], isIsolated: boolean];

const ORDERS: ReadonlyMap<string, readonly Change[]> = new Map([
  [
    'isolated after it has shared',
    [
      ['tenant-1', false],
      ['tenant-1', true],
    ],
  ],
  [
    'isolated, shared and isolated again',
    [
      ['tenant-1', true],
      ['tenant-1', false],
      ['tenant-1', true],
      ['tenant-1', false],
    ],
  ],
  [
    'isolated one after the other',
    [
      ['tenant-1', false],
      ['tenant-2', true],
      ['tenant-1', true],
      ['tenant-2', false],
      ['tenant-1', false],
    ],
  ],
]);

/** Sends streams of both tenants, whose prompts begin alike, to all routers. */
async function sendStreams(simulation: GatewaySimulation): Promise<void> {
  for (let index = 0; index < REQUESTS; index += 1) {
    const tenant = TENANTS[index % TENANTS.length] ?? TENANTS[0];
    simulation.request(Math.floor(index / 2), 'stream-resumable', tenant, 0);
    await simulation.clock.advance(INTERVAL_MS);
  }
}

function isolationBreaches(simulation: GatewaySimulation): string[] {
  return findBreaches(simulation)
    .filter(({ rule }) => rule === 'isolated-memory' || rule === 'own-salt')
    .map(({ rule, detail }) => `${rule} ${detail}`);
}

for (const [order, changes] of ORDERS) {
  for (const restarts of [false, true]) {
    const name = restarts ? `${order}, with restarts of all routers` : order;
    test(`memory of a tenant is out of another one's reach: ${name}`, async (t) => {
      const simulation = await GatewaySimulation.create(SEED);
      await sendStreams(simulation);
      for (const [tenant, isIsolated] of changes) {
        simulation.configuration.isolateTenant(tenant, isIsolated);
        await simulation.clock.advance(IN_FORCE_MS);
        if (restarts) {
          for (let index = 0; index < simulation.routerCount; index += 1)
            simulation.killRouter(index, DOWN_MS);
          await simulation.clock.advance(DOWN_MS + SERVING_MS);
        }
        await sendStreams(simulation);
      }
      const served = simulation.requests.filter(({ reply }) => reply.status === 200).length;
      t.is(served, REQUESTS * (changes.length + 1));
      t.deepEqual(isolationBreaches(simulation), []);
    });
  }
}

// A request that waits, or is sent again, is placed by the configuration that is in force then.
test('memory is out of reach while the isolation changes under traffic and engines crash', async (t) => {
  const simulation = await GatewaySimulation.create(SEED);
  for (let round = 0; round < 8; round += 1) {
    simulation.configuration.isolateTenant('tenant-1', round % 2 === 0);
    if (round % 3 === 0) simulation.fleet.crash(round % 3);
    for (let burst = 0; burst < 8; burst += 1) await sendStreams(simulation);
  }
  await simulation.settle();
  t.deepEqual(isolationBreaches(simulation), []);
});

test('tenants have the namespace of others only if none of them is isolated, for any names', (t) => {
  const names = fc.uniqueArray(
    fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.constantFrom('a', 'a,b', '["a","b"]', 'a/b', '+', ''),
    ),
    { minLength: 2, maxLength: 5 },
  );
  const property = fc.property(
    names,
    fc.array(fc.boolean(), { minLength: 10, maxLength: 10 }),
    (all, flags) => {
      const isolate = (offset: number) =>
        all.map((name, index) => ({ name, isIsolated: flags[offset + index] ?? false }));
      const [before, after] = [isolate(0), isolate(5)];
      for (const maker of before) {
        for (const user of after) {
          if (maker.name === user.name) continue;
          const isShared =
            new CacheNamespaces(before).of(maker) === new CacheNamespaces(after).of(user);
          const isIsolatedNow = after.some(
            ({ name, isIsolated }) => isIsolated && (name === maker.name || name === user.name),
          );
          t.false(isShared && isIsolatedNow);
        }
      }
    },
  );
  fc.assert(property, { seed: 91, numRuns: 2_000 });
});

test('the order of tenants and repeated entries make no other namespace, and none isolated makes none', (t) => {
  const tenants = ['b', 'a', 'c'].map((name) => ({ name, isIsolated: name !== 'c' }));
  const { shared } = new CacheNamespaces(tenants);
  t.is(new CacheNamespaces([...tenants].reverse()).shared, shared);
  t.regex(shared, /^\+[0-9a-f]{32}$/);
  t.is(new CacheNamespaces([{ name: 'c', isIsolated: false }]).shared, '');
  t.is(new CacheNamespaces([]).of(undefined), '');
});
