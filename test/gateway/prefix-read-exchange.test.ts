/**
 * Guards against routers of a large group that do not learn where prefixes are cached, also after a
 * collector died or a router restarted, and against traffic and state in small groups.
 */
import test from 'ava';
import { GroupDeployment } from '../../bench/group-deployment.js';
import { createHasher } from '../../src/runtime/hasher.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { LoadCollection } from '../../src/coordination/gateway/load-collection.js';
import { LoadSharing } from '../../src/coordination/gateway/load-sharing.js';
import { parseDisabledFeatures } from '../../src/coordination/gateway/load-sharing-settings.js';
import { ObservationExchange } from '../../src/coordination/gateway/observation-exchange.js';
import { PrefixReadExchange } from '../../src/coordination/gateway/prefix-read-exchange.js';
import { simulationConfiguration } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { ConfigurationState } from '../../src/state/routing/configuration-state.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { SendRate } from '../../src/state/routing/send-rate.js';
import { engineRecord } from '../helpers/engine-record.js';
import { GroupHarness, type GroupRouter } from '../helpers/group-harness.js';
import { loadSharingParts } from '../helpers/load-sharing-parts.js';

const SETTLED_MS = 3_000;
/** A report and a summary, each after up to one exchange period, and the network latency. */
const PROPAGATION_MS = 450;
const LARGE_GROUP = 40;
const SALT = 'model-a@1';
const SUBJECT = { id: 'subject', tokens: 3_780 };
const ENGINE = 'engine-1';

class ReadingRouter {
  readonly cachedPrefixes = new CachedPrefixes();
  readonly statistics = new GatewayStatistics();
  readonly registry = new EngineRegistry();
  readonly exchange: PrefixReadExchange;

  constructor() {
    this.registry.put(engineRecord(ENGINE, undefined, { service: 'generation' }));
    const configuration = new ConfigurationState(Infinity);
    configuration.apply(simulationConfiguration(1, []), new VirtualClock().elapsed());
    this.exchange = new PrefixReadExchange({
      cachedPrefixes: this.cachedPrefixes,
      registry: this.registry,
      configuration,
      ownTokenRate: new SendRate(),
      shareOfTraffic: () => 1 / LARGE_GROUP,
      statistics: this.statistics,
      logger: new NoopLogger(),
    });
  }

  read(nowMs: number): void {
    this.exchange.recordRead(ENGINE, SALT, [SUBJECT], nowMs);
  }

  get knownTokens(): number {
    return this.cachedPrefixes.leadingTokens(SALT, [SUBJECT]).get(ENGINE) ?? 0;
  }

  join({ group, host }: GroupRouter): void {
    const observations = new ObservationExchange(group, { prefixReads: this.exchange }, host);
    const collection = new LoadCollection({
      group,
      loads: new LoadTable(),
      registry: this.registry,
      clock: host,
      logger: new NoopLogger(),
      listener: observations,
    });
    group.onWorkDatagram = (body) => collection.receive(body);
    group.onObservationDatagram = (body) => observations.receive(body);
    collection.start();
  }
}

async function readingGroup(
  size: number,
  seed: number,
  followedHolders: readonly string[],
): Promise<[GroupHarness, ReadingRouter[]]> {
  const harness = await GroupHarness.create(size, seed);
  const routers = harness.routers.map((member) => {
    const router = new ReadingRouter();
    router.cachedPrefixes.setReportingHolders(new Set(followedHolders));
    router.join(member);
    return router;
  });
  await harness.clock.advance(SETTLED_MS);
  return [harness, routers];
}

test('every router of a large group learns within half a second what an engine has read', async (t) => {
  const [harness, routers] = await readingGroup(LARGE_GROUP, 1, []);
  routers[7]?.read(harness.clock.now());
  await harness.clock.advance(PROPAGATION_MS);
  t.deepEqual(
    routers.map(({ knownTokens }) => knownTokens),
    Array<number>(LARGE_GROUP).fill(SUBJECT.tokens),
  );
});

test('after the collector died in mid-round, locations are learned again within a second', async (t) => {
  const [harness, routers] = await readingGroup(LARGE_GROUP, 2, []);
  const names = harness.routers.map(({ name }) => name);
  const collector = names.indexOf([...names].sort()[0] as string);
  const reader = routers[(collector + 5) % LARGE_GROUP];
  reader?.read(harness.clock.now());
  harness.powerOff(collector);
  await harness.clock.advance(1_000);
  // The first report is lost with the collector; the part is reported again when it is read again.
  await harness.clock.advance(1_500);
  reader?.read(harness.clock.now());
  await harness.clock.advance(PROPAGATION_MS);
  const known = routers.filter((router, index) => index !== collector && router.knownTokens > 0);
  t.is(known.length, LARGE_GROUP - 1);
});

test('a restarted router learns again within two seconds what is in use', async (t) => {
  const [harness, routers] = await readingGroup(LARGE_GROUP, 3, []);
  const restarted = new ReadingRouter();
  harness.powerOff(20);
  await harness.start(20);
  restarted.join(harness.routers[20] as GroupRouter);
  // It has not decided yet whether it follows cache events.
  const STEP_MS = 250;
  for (let passedMs = 0; passedMs < 2_000; passedMs += STEP_MS) {
    routers[(passedMs / STEP_MS) % 20]?.read(harness.clock.now());
    await harness.clock.advance(STEP_MS);
  }
  t.is(restarted.knownTokens, SUBJECT.tokens);
  t.is(restarted.statistics.prefixReadsReported, 0);
});

test('routers that follow cache events send no reads and apply none', async (t) => {
  const [harness, routers] = await readingGroup(5, 4, [ENGINE]);
  for (const router of routers) router.read(harness.clock.now());
  await harness.clock.advance(PROPAGATION_MS);
  const entry = { engineKey: 1, partKey: 2, tokens: 3_780, ageMs: 0, reads: 1 };
  for (const { exchange, statistics, cachedPrefixes } of routers) {
    exchange.receive('router-9', [entry], true, harness.clock.now());
    t.is(statistics.prefixReadsReported, 0);
    t.is(statistics.prefixReadsApplied + statistics.prefixReadsIgnored, 0);
    t.is(cachedPrefixes.sizeOf(ENGINE), 0);
    t.false(cachedPrefixes.learnsFromReads);
  }
});

test('a router that begins to follow events drops what it learned from reads', (t) => {
  const router = new ReadingRouter();
  router.cachedPrefixes.setReportingHolders(new Set());
  router.exchange.takeOwn(40, 0);
  router.read(0);
  t.is(router.knownTokens, SUBJECT.tokens);
  t.true(router.cachedPrefixes.learnsFromReads);
  router.cachedPrefixes.setReportingHolders(new Set([ENGINE]));
  router.exchange.takeOwn(40, 100);
  t.is(router.knownTokens, 0);
  t.false(router.cachedPrefixes.learnsFromReads);
});

test('a read at an engine that restarted under its address is ignored and counted', (t) => {
  const sender = new ReadingRouter();
  sender.cachedPrefixes.setReportingHolders(new Set());
  sender.read(0);
  const reads = sender.exchange.takeOwn(40, 0);
  const router = new ReadingRouter();
  router.registry.put(engineRecord(ENGINE, 2_000, { service: 'generation' }));
  router.exchange.receive('router-1', reads, true, 100);
  t.is(router.cachedPrefixes.sizeOf(ENGINE), 0);
  t.is(router.statistics.prefixReadsIgnored, 1);
  t.is(router.statistics.prefixReadsApplied, 0);
});

test('a disabled feature exchanges nothing', (t) => {
  const disabled = parseDisabledFeatures('prefix-reads');
  const sharing = new LoadSharing(loadSharingParts({ disabled }));
  t.is(sharing.views.prefixReads, undefined);
  t.is(sharing.observations.prefixReads, undefined);
});

for (const { size, sends } of [
  { size: 5, sends: false },
  { size: 16, sends: true },
]) {
  test(`${size} whole routers ${sends ? 'exchange reads' : 'follow events and send no reads'}`, async (t) => {
    const deployment = await GroupDeployment.start(size, await createHasher());
    await deployment.sendTraffic(3_000, 3 * size);
    deployment.stop();
    for (const { statistics } of deployment.nodes) {
      t.is(statistics.prefixReadsApplied > 0, sends);
      t.is(statistics.prefixReadsIgnored, 0);
    }
    const reported = deployment.nodes.some(({ statistics }) => statistics.prefixReadsReported > 0);
    t.is(reported, sends);
  });
}
