/**
 * Guards against a tenant that sends several times its usual and takes the capacity of the others,
 * and against routers that disagree for long about who is over its share.
 */
import test from 'ava';
import fc from 'fast-check';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { LoadSharing } from '../../src/coordination/gateway/load-sharing.js';
import { parseDisabledFeatures } from '../../src/coordination/gateway/load-sharing-settings.js';
import { TenantUseExchange } from '../../src/coordination/gateway/tenant-use-exchange.js';
import { memberKey } from '../../src/state/member-key.js';
import {
  TenantShares,
  type TenantUse,
  maxMinFairLevel,
} from '../../src/state/routing/tenant-shares.js';
import { type LogFields, NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { GroupHarness } from '../helpers/group-harness.js';
import {
  PROPAGATION_MS,
  SETTLED_MS,
  collectorOf,
  startExchange,
} from '../helpers/observation-harness.js';
import { loadSharingParts } from '../helpers/load-sharing-parts.js';

const SERVICE = 'helpline';
const TOKENS = 9_190;
const STEP_MS = 100;
/** Requests of a usual tenant that arrive in the whole group in one step; the large one sends 7 times. */
const USUAL = 4;
const LARGE = 7 * USUAL;
const TENANTS = ['large', 'a', 'b', 'c'];

interface SharingGroup {
  readonly harness: GroupHarness;
  readonly shares: TenantShares[];
}

async function sharingGroup(routers: number, seed: number): Promise<SharingGroup> {
  const harness = await GroupHarness.create(routers, seed);
  const shares = harness.routers.map((_, index) => startShares(harness, index));
  await harness.clock.advance(SETTLED_MS);
  return { harness, shares };
}

function startShares(harness: GroupHarness, index: number): TenantShares {
  const shares = new TenantShares();
  startExchange(harness, index, { tenantUses: new TenantUseExchange(shares) });
  return shares;
}

/**
 * All tenants send for a time; the group serves `servedShare` of what each asks for. Requests go to
 * the routers in turn.
 */
async function load(
  { harness, shares }: SharingGroup,
  forMs: number,
  servedShare: number,
): Promise<void> {
  let request = 0;
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
    for (const tenant of TENANTS) {
      const count = tenant === 'large' ? LARGE : USUAL;
      for (let sent = 0; sent < count; sent += 1) {
        request += 1;
        const router = shares[request % shares.length];
        const now = harness.clock.now();
        router?.noteDemand(SERVICE, tenant, TOKENS, now);
        if (sent < count * servedShare) router?.noteUse(SERVICE, tenant, TOKENS, now);
      }
    }
    // Without this step each router would get the same request of every round.
    request += 1;
    await harness.clock.advance(STEP_MS);
  }
}

/** The routers that rank a tenant above its share. */
function overShare({ harness, shares }: SharingGroup, tenant: string): number {
  return shares.filter((each) => each.useOfShare(SERVICE, tenant, harness.clock.now()) > 1).length;
}

test('the max-min fair level gives out the capacity, and no demand below it is cut', (t) => {
  const property = fc.property(
    fc.array(fc.integer({ min: 0, max: 1_000 }), { minLength: 1, maxLength: 30 }),
    fc.integer({ min: 0, max: 20_000 }),
    (demands, capacity) => {
      const level = maxMinFairLevel(demands, capacity);
      const given = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
      const demanded = demands.reduce((sum, demand) => sum + demand, 0);
      t.true(Math.abs(given - Math.min(capacity, demanded)) < 1e-6 * Math.max(1, capacity));
    },
  );
  fc.assert(property, { seed: 58, numRuns: 300 });
});

for (const routers of [5, 40]) {
  test(`all of ${routers} routers rank a tenant at 7 times its usual last while capacity is short`, async (t) => {
    const group = await sharingGroup(routers, routers);
    await load(group, 2_000, 0.5);
    t.is(overShare(group, 'large'), routers);
    for (const tenant of ['a', 'b', 'c']) t.is(overShare(group, tenant), 0);
  });
}

test('while all are served, no tenant is over its share, however much it sends', async (t) => {
  const group = await sharingGroup(40, 3);
  await load(group, 2_000, 1);
  for (const tenant of TENANTS) t.is(overShare(group, tenant), 0);
});

test('a tenant that stops sending is within its share again', async (t) => {
  const group = await sharingGroup(5, 4);
  await load(group, 2_000, 0.5);
  await group.harness.clock.advance(8_000);
  t.is(overShare(group, 'large'), 0);
});

test('after the collector died, the next summaries rank the tenant within two seconds', async (t) => {
  const group = await sharingGroup(40, 5);
  await load(group, 1_000, 0.5);
  const collector = collectorOf(group.harness);
  group.harness.powerOff(collector);
  await load(group, 2_000, 0.5);
  const running = { ...group, shares: group.shares.filter((_, index) => index !== collector) };
  t.is(overShare(running, 'large'), 39);
  t.is(overShare(running, 'a'), 0);
});

test('a restarted router learns the shares of the group within a second', async (t) => {
  const group = await sharingGroup(40, 6);
  await load(group, 1_500, 0.5);
  const index = 7;
  group.harness.powerOff(index);
  await group.harness.start(index);
  const restarted = startShares(group.harness, index);
  group.shares[index] = restarted;
  t.is(restarted.useOfShare(SERVICE, 'large', group.harness.clock.now()), 0);
  await load(group, 1_000 + PROPAGATION_MS, 0.5);
  t.true(restarted.useOfShare(SERVICE, 'large', group.harness.clock.now()) > 1);
});

test('a report replaces the one before, and a stuck one expires', (t) => {
  const shares = new TenantShares();
  const use = {
    serviceKey: memberKey(SERVICE),
    tenantKey: memberKey('large'),
    tokensPerSecond: 1_000,
    demandedTokensPerSecond: 9_000,
  };
  shares.receiveReport('router-1', [use], 0);
  shares.receiveReport('router-1', [use], 10);
  t.is(shares.groupUses(20)[0]?.tokensPerSecond, 1_000);
  t.deepEqual(shares.groupUses(2_000), []);
});

test('without any report a router decides by what it has seen itself', (t) => {
  const shares = new TenantShares();
  for (let request = 0; request < 70; request += 1) {
    shares.noteDemand(SERVICE, 'large', TOKENS, 100);
    if (request < 40) shares.noteUse(SERVICE, 'large', TOKENS, 100);
    if (request % 7 === 0) shares.noteDemand(SERVICE, 'a', TOKENS, 100);
    if (request % 14 === 0) shares.noteUse(SERVICE, 'a', TOKENS, 100);
  }
  t.true(shares.useOfShare(SERVICE, 'large', 100) > 1);
  t.true(shares.useOfShare(SERVICE, 'a', 100) <= 1);
});

test('the state is bounded, whatever tenants are named', (t) => {
  const shares = new TenantShares();
  for (let index = 0; index < 10_000; index += 1) {
    shares.noteDemand(SERVICE, `tenant-${index}`, TOKENS, 0);
  }
  t.is(shares.ownUses(0).length, 4_096);
  t.deepEqual(shares.ownUses(60_000), []);
});

test('in a partition the large tenant is ranked last by most, and after it all agree within a second', async (t) => {
  const group = await sharingGroup(40, 8);
  const isLeft = (name: string): boolean => Number(name.split('-')[1]) < 20;
  group.harness.network.setPartition((left, right) => isLeft(left) !== isLeft(right));
  await load(group, 3_000, 0.5);
  // A side without a collector ranks by what each router sees itself: the large tenant stands out on
  // nearly all, and a usual one seems large on a few.
  t.true(overShare(group, 'large') >= 30);
  t.true(overShare(group, 'a') <= 10);
  group.harness.network.heal();
  await load(group, 1_000, 0.5);
  t.is(overShare(group, 'large'), 40);
  t.is(overShare(group, 'a'), 0);
});

test('absurd token counts declared by a caller neither stop the exchange nor stay', async (t) => {
  const group = await sharingGroup(40, 9);
  for (const router of group.shares) {
    router.noteDemand(SERVICE, 'absurd', Infinity, group.harness.clock.now());
    router.noteUse(SERVICE, 'absurd', 1e300, group.harness.clock.now());
  }
  await group.harness.clock.advance(2_000);
  await group.harness.clock.advance(6_000);
  await load(group, 2_000, 0.5);
  t.is(overShare(group, 'large'), 40);
  t.is(overShare(group, 'absurd'), 0);
});

test('the sum of two reports with the largest values still fits into a summary', async (t) => {
  const group = await sharingGroup(40, 10);
  const use = {
    serviceKey: memberKey(SERVICE),
    tenantKey: memberKey('false'),
    tokensPerSecond: 0xffffffff,
    demandedTokensPerSecond: 0xffffffff,
  };
  const collector = group.shares[collectorOf(group.harness)];
  collector?.receiveReport('router-x', [use], group.harness.clock.now());
  collector?.receiveReport('router-y', [use], group.harness.clock.now());
  await load(group, 3_000, 0.5);
  t.is(overShare(group, 'large'), 40);
});

/** Share of the time for which a usual and a large tenant count as over their share. */
function overShareInTime(largeFactor: number): { usual: number; large: number } {
  const TENANTS_COUNT = 16;
  const REQUESTS_PER_SECOND = 256;
  const random = new SeededRandom(11);
  const shares = new TenantShares();
  const over = { usual: 0, large: 0 };
  let samples = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += 5) {
    for (let tenant = 0; tenant < TENANTS_COUNT; tenant += 1) {
      const factor = tenant === 0 ? largeFactor : 1;
      const expected = (factor * REQUESTS_PER_SECOND * 0.005) / TENANTS_COUNT;
      if (random.next() >= expected) continue;
      const tokens = random.next() < 0.46 ? TOKENS : 870;
      shares.noteDemand(SERVICE, `tenant-${tenant}`, tokens, nowMs);
      if (random.next() < 0.8) shares.noteUse(SERVICE, `tenant-${tenant}`, tokens, nowMs);
    }
    if (nowMs < 2_000 || nowMs % 100 !== 0) continue;
    samples += 1;
    for (let tenant = 0; tenant < TENANTS_COUNT; tenant += 1) {
      if (shares.useOfShare(SERVICE, `tenant-${tenant}`, nowMs) <= 1) continue;
      if (tenant === 0) over.large += 1;
      else over.usual += 1 / (TENANTS_COUNT - 1);
    }
  }
  return { usual: over.usual / samples, large: over.large / samples };
}

test('random arrivals of equal tenants rarely rank one of them over its share', (t) => {
  const { usual, large } = overShareInTime(1);
  t.log({ usual, large });
  t.true(usual < 0.03);
});

test('a tenant at 3.6 times its usual is over its share, and the others are not', (t) => {
  const { usual, large } = overShareInTime(3.6);
  t.log({ usual, large });
  t.true(usual < 0.03);
  t.true(large > 0.95);
});

test('all tenants within their share rank equally, whether a summary names them or not', (t) => {
  const shares = new TenantShares();
  for (let request = 0; request < 10; request += 1) {
    shares.noteDemand(SERVICE, 'named', TOKENS, 100);
    if (request < 5) shares.noteUse(SERVICE, 'named', TOKENS, 100);
  }
  t.is(shares.useOfShare(SERVICE, 'named', 100), 0);
  t.is(shares.useOfShare(SERVICE, 'unnamed', 100), 0);
});

test('a tenant that passes its share is counted each time, and logged at most once in 10 s', (t) => {
  const lines: LogFields[] = [];
  const logger = Object.assign(new NoopLogger(), {
    info: (event: string, fields: LogFields) => lines.push({ event, ...fields }),
  });
  const statistics = new GatewayStatistics();
  const { tenantShares, tenantRanking } = new LoadSharing(loadSharingParts({ logger, statistics }))
    .views;
  const burst = (nowMs: number): void => {
    for (let request = 0; request < 70; request += 1) {
      tenantShares.noteDemand(SERVICE, 'large', TOKENS, nowMs);
      if (request < 40) tenantShares.noteUse(SERVICE, 'large', TOKENS, nowMs);
      if (request % 7 === 0) tenantShares.noteDemand(SERVICE, 'a', TOKENS, nowMs);
    }
    for (let rank = 0; rank < 3; rank += 1) {
      t.true(tenantRanking.useOfShare(SERVICE, 'large', nowMs) > 1);
      t.is(tenantRanking.useOfShare(SERVICE, 'a', nowMs), 0);
    }
  };
  for (const nowMs of [1_000, 6_000, 12_000]) {
    burst(nowMs);
    // The tenant is forgotten, and so within its share.
    tenantShares.ownUses(nowMs + 4_000);
    t.is(tenantRanking.useOfShare(SERVICE, 'large', nowMs + 4_000), 0);
  }
  t.is(statistics.tenantsOverShare, 3);
  t.is(lines.length, 2);
  // No request of the tenant was ranked while it was within its share.
  burst(16_500);
  tenantShares.ownUses(20_500);
  burst(30_000);
  t.is(statistics.tenantsOverShare, 5);
  t.is(lines.length, 3);
  t.deepEqual(lines[0], {
    event: 'tenant_over_share',
    tenant: 'large',
    service: SERVICE,
    use_of_share: 1.33,
    used_tokens_per_s: 40 * TOKENS,
    demanded_tokens_per_s: 70 * TOKENS,
  });
});

test('with the feature disabled, tenants rank equally and nothing is exchanged or logged', (t) => {
  const statistics = new GatewayStatistics();
  const disabled = parseDisabledFeatures('tenant-shares');
  const { views, observations } = new LoadSharing(loadSharingParts({ disabled, statistics }));
  t.is(views.tenantRanking.useOfShare(SERVICE, 'large', 0), 0);
  t.is(observations.tenantUses, undefined);
  t.is(statistics.tenantsOverShare, 0);
});

test('a lost summary of a group of 390 routers does not end the ranking', (t) => {
  const shares = new TenantShares();
  const useOf = (
    tenant: string,
    tokensPerSecond: number,
    demandedTokensPerSecond: number,
  ): TenantUse => ({
    serviceKey: memberKey(SERVICE),
    tenantKey: memberKey(tenant),
    tokensPerSecond,
    demandedTokensPerSecond,
  });
  shares.receiveSummary([useOf('large', 350_000, 700_000), useOf('a', 50_000, 100_000)], 0);
  // Summaries are sent every 0.8 s, and the one after 0.8 s is lost.
  t.true(shares.useOfShare(SERVICE, 'large', 1_650) > 1);
  t.is(shares.useOfShare(SERVICE, 'large', 2_000), 0);
});
