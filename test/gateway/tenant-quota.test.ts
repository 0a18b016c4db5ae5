/** Limits of tenants that all routers keep together: what engines run for a tenant, over every window. */
import test from 'ava';
import { QuotaHarness, type TenantDemand, limitOf } from '../helpers/quota-harness.js';

/** A large and a small tenant, at the share of their limits that they usually send. */
const USUAL_SHARE = 1 / 1.8;
const LARGE_RATE = 277_000;
const SMALL_RATE = 29_000;

function demands(times = 1): TenantDemand[] {
  return [
    {
      name: 'large',
      limit: limitOf(LARGE_RATE),
      tokensPerSecond: LARGE_RATE * USUAL_SHARE * times,
    },
    {
      name: 'small',
      limit: limitOf(SMALL_RATE),
      tokensPerSecond: SMALL_RATE * USUAL_SHARE * times,
    },
  ];
}

const ROUTERS = 24;
const PLAY_MS = 10_000;

test('calm: nothing below the limit is refused', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 1, demands());
  await world.play(PLAY_MS);
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name);
    t.true(figures.refusedBelowShare <= 0.005);
    t.true(figures.mostUsedShare < 1);
  }
});

test('a tenant that sends several times its usual stays within its limit at all routers', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 2, demands());
  await world.play(2_000);
  for (const tenant of world.tenants) tenant.tokensPerSecond *= 7.5;
  await world.play(PLAY_MS);
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name);
    t.true(figures.mostUsedShare < 1);
    t.true(figures.grantedShare > 0.9);
  }
});

test('routers that all restart grant no second burst', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 3, demands(7.5));
  await world.play(4_000);
  await world.restartAll(700);
  await world.play(PLAY_MS);
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name);
    t.true(figures.mostUsedShare < 1);
  }
});

test('a third of the routers, cut off for as long as its configuration is proven', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 4, demands(4.6));
  await world.play(4_000);
  world.cutOff(0.35);
  await world.play(4_600);
  world.heal();
  await world.play(4_000);
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name);
    t.true(figures.mostUsedShare < 1);
  }
});

/** Sizes of groups, with the seeds that are played: in those of more than 13 not all hear each other directly. */
const SEEDS_BY_GROUP_SIZE = new Map([
  [3, [1, 2, 3]],
  [8, [1, 2, 3]],
  [14, [4, 5, 6]],
  [24, [1, 2, 3]],
  [79, [1]],
]);
/** How much a tenant's burst is over its usual. */
const BURST_TIMES = 4.6;
/** Routers that are cut off serve for as long as their configuration is proven. */
const CUT_MS = 4_600;

/** The routers that keep the accounts and some more: one of three, a quarter of a small group, else a third. */
function accountantsAmong(world: QuotaHarness, groupSize: number): number[] {
  const accountants = [world.accountantOf('large'), world.accountantOf('small')];
  const SMALLEST_WITH_TWO = 8;
  if (groupSize < SMALLEST_WITH_TWO) return accountants.slice(0, 1);
  const count = Math.floor(groupSize / (groupSize === SMALLEST_WITH_TWO ? 4 : 3));
  const indices = new Set(accountants);
  for (let index = 0; indices.size < count; index += 1) indices.add(index);
  return [...indices];
}

for (const [groupSize, seeds] of SEEDS_BY_GROUP_SIZE) {
  for (const seed of seeds) {
    test(`accountants cut off at the begin of a burst: ${groupSize} routers, seed ${seed}`, async (t) => {
      const world = await QuotaHarness.create(groupSize, seed, demands());
      await world.play(2_000);
      for (const tenant of world.tenants) tenant.tokensPerSecond *= BURST_TIMES;
      await world.play(1_000);
      world.cutOffRouters(accountantsAmong(world, groupSize));
      await world.play(CUT_MS);
      world.heal();
      await world.play(6_000);
      for (const name of ['large', 'small']) {
        const figures = world.figuresOf(name);
        t.log(name, figures.mostUsedShare);
        t.true(figures.mostUsedShare < 1);
      }
    });
  }
}

test('routers agree again on who keeps an account soon after a cut has healed', async (t) => {
  const world = await QuotaHarness.create(8, 1, demands(BURST_TIMES));
  await world.play(4_000);
  world.cutOffRouters(accountantsAmong(world, 8));
  await world.play(CUT_MS);
  world.heal();
  const AGREED_MS = 1_000;
  await world.play(AGREED_MS);
  const sinceMs = world.now;
  await world.play(2_000);
  // Twice the rate would be granted while each side asked its own account.
  const OF_ONE_ACCOUNT = 1.2;
  const { limit } = world.tenants[0] as TenantDemand;
  const granted = world.charges
    .filter(
      ({ tenant, atMs, outcome }) => tenant === 'large' && atMs >= sinceMs && outcome === 'granted',
    )
    .reduce((sum, { tokens }) => sum + tokens, 0);
  t.true(granted / (2 * limit.ratePerSecond) < OF_ONE_ACCOUNT);
});

test('an accountant that falls silent does not take the next one with it', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 1, demands(BURST_TIMES));
  await world.play(4_000);
  world.cutOffRouters([world.accountantOf('large')]);
  const beforeCut = world.charges.length;
  await world.play(2_500);
  const slow = world.charges
    .slice(beforeCut)
    .filter(({ atMs, decidedMs, outcome }) => outcome !== 'open' && decidedMs - atMs > 90);
  t.log(slow.length / (world.charges.length - beforeCut));
  t.true(slow.length / (world.charges.length - beforeCut) < 0.01);
});

test('a limit that is lowered far below what is sent binds at once', async (t) => {
  const world = await QuotaHarness.create(ROUTERS, 5, demands());
  await world.play(3_000);
  world.changeLimits(
    new Map([
      ['large', limitOf(LARGE_RATE / 5)],
      ['small', limitOf(SMALL_RATE / 5)],
    ]),
  );
  const loweredMs = world.now;
  await world.play(PLAY_MS + 8_000);
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name, loweredMs + 8_000);
    t.true(figures.mostUsedShare < 1);
  }
});

test('a router that has restarted is not given the answers of its life before', async (t) => {
  const ROUTERS_OF_FEW = 4;
  const world = await QuotaHarness.create(ROUTERS_OF_FEW, 6, demands(7.5));
  const RESTARTS = 12;
  for (let restart = 0; restart < RESTARTS; restart += 1) {
    await world.play(600);
    await world.restartOne(restart % ROUTERS_OF_FEW);
  }
  for (const name of ['large', 'small']) {
    const figures = world.figuresOf(name);
    t.log(name, figures.mostUsedShare);
    t.true(figures.mostUsedShare < 1);
  }
});
