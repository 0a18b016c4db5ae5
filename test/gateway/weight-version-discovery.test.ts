/** A router must not date a weight version too late, nor earlier than its last proof allows. */
import { create } from '@bufbuild/protobuf';
import test from 'ava';
import { WeightVersionDiscovery } from '../../src/coordination/gateway/weight-version-discovery.js';
import { DECODER, SIMULATION_MODEL } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { encodeLoadReport } from '../../src/protocol/peer/cluster-codec.js';
import {
  LoadReportSchema,
  NamedWeightsSchema,
} from '../../src/protocol/peer/generated/cluster_pb.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { positionAt } from '../helpers/positions.js';

const GRACE_MS = 9_000;
const ASSUMED_AGE_MS = 5_000;
const START_MS = 20_000;
const LARGEST_DATAGRAM_BYTES = 65_507;

function namedObject(version: number) {
  return {
    name: SIMULATION_MODEL,
    position: positionAt(version),
    spec: { model: SIMULATION_MODEL, version },
  };
}

/** A discovery that starts at `START_MS`. */
async function discoveryHarness() {
  const clock = new VirtualClock();
  await clock.advance(START_MS);
  const versions = new WeightVersions(GRACE_MS, new StoreOutages());
  let announcements = 0;
  const startedMs = clock.now();
  const parts = { versions, decoder: DECODER, startedMs, clock, logger: new NoopLogger() };
  const discovery = new WeightVersionDiscovery(parts, ASSUMED_AGE_MS, () => (announcements += 1));
  return { clock, versions, discovery, announcementCount: () => announcements };
}

test('a change from the first watch after a list may have been named before the watch started', async (t) => {
  const { clock, versions, discovery, announcementCount } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  await clock.advance(1_200);
  discovery.applyChange(namedObject(2), false);
  discovery.recordResponse(clock.elapsed(), false);
  // Independent of the time of arrival: deadlines apply a fixed time after the start.
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), START_MS - ASSUMED_AGE_MS + GRACE_MS);
  t.is(announcementCount(), 0);
  t.deepEqual(discovery.versionAnnouncements, []);
});

test('a change from a later watch has age zero and is announced', async (t) => {
  const { clock, versions, discovery, announcementCount } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.recordResponse(clock.elapsed(), false);
  await clock.advance(1_000);
  discovery.applyChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() + GRACE_MS);
  t.is(announcementCount(), 1);
});

test('many named versions do not make a report too large for a datagram', async (t) => {
  const { clock, discovery } = await discoveryHarness();
  for (let response = 0; response < 2; response += 1)
    discovery.recordResponse(clock.elapsed(), false);
  const models = Array.from({ length: 1_000 }, (_, index) => `${index}-${'x'.repeat(196)}`);
  for (const [index, model] of models.entries()) {
    await clock.advance(1);
    const object = { name: model, position: positionAt(index), spec: { model, version: 1 } };
    discovery.applyChange(object, false);
  }
  const announced = discovery.versionAnnouncements;
  const named = announced.map((announcement) => create(NamedWeightsSchema, announcement));
  const { byteLength } = encodeLoadReport(create(LoadReportSchema, { named }));
  t.true(byteLength < LARGEST_DATAGRAM_BYTES / 2, `${byteLength} bytes`);
  t.is(announced[0]?.model, models.at(-1));
});

test('an announcement by a router that observed the naming updates the age', async (t) => {
  const { clock, versions, discovery } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.applyChange(namedObject(2), false);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.receive({ model: SIMULATION_MODEL, version: 2, ageMs: 2_500 });
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 2_500 + GRACE_MS);
});

test('a change found after a failed watch may have been named since the last proof', async (t) => {
  const { clock, versions, discovery, announcementCount } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.recordResponse(clock.elapsed(), false);
  // The connection is unresponsive: the watch ends by its timeout.
  await clock.advance(3_800);
  discovery.noteFailure();
  discovery.applyChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 3_800 + GRACE_MS);
  t.is(announcementCount(), 0);
  t.deepEqual(discovery.versionAnnouncements, []);
});

test('after a response, changes are dated by their arrival again', async (t) => {
  const { clock, versions, discovery } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.recordResponse(clock.elapsed(), false);
  await clock.advance(3_800);
  discovery.noteFailure();
  discovery.recordResponse(clock.elapsed(), false);
  await clock.advance(1_000);
  discovery.applyChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() + GRACE_MS);
});

test('a change relayed by another router is dated by the last proof and not announced', async (t) => {
  const { clock, versions, discovery, announcementCount } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), true);
  const proven = clock.elapsed();
  discovery.recordResponse(proven, true);
  // Responses continue, but their proof does not advance, as the relaying router's connection is
  // unresponsive.
  await clock.advance(1_300);
  discovery.recordResponse(proven, true);
  await clock.advance(100);
  discovery.applyChange(namedObject(2), true);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 1_400 + GRACE_MS);
  t.is(announcementCount(), 0);
  t.deepEqual(discovery.versionAnnouncements, []);
});

test('the first direct change after relayed responses is dated by the last proof', async (t) => {
  const { clock, versions, discovery } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), true);
  discovery.recordResponse(clock.elapsed(), true);
  await clock.advance(1_500);
  discovery.applyChange(namedObject(2), false);
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 1_500 + GRACE_MS);
});

test('a version named at the end of an outage is not dated before the outage', async (t) => {
  const { clock, versions, discovery } = await discoveryHarness();
  discovery.applyList([namedObject(1)]);
  discovery.recordResponse(clock.elapsed(), false);
  discovery.recordResponse(clock.elapsed(), false);
  await clock.advance(2_500);
  discovery.noteFailure();
  await clock.advance(6_000);
  discovery.noteFailure();
  discovery.applyChange(namedObject(2), false);
  // The time since the first failure, which does not count towards the deadline.
  t.is(versions.dueMs(SIMULATION_MODEL, 1, clock.now()), clock.now() - 6_000 + GRACE_MS);
});
