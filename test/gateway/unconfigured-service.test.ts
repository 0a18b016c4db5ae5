/**
 * An entry of a service that the configuration lacks may be of another program. It must not make a
 * router ignore later entries of the engine whose entry it overwrote.
 */
import test from 'ava';
import { DECODER } from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import type { StoredObject } from '../../src/protocol/object-store/port.js';
import type { EngineRecord } from '../../src/state/routing/engine-registry.js';
import { EngineListHarness } from '../helpers/engine-list-harness.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';

const NAME = 'engine-0';
const FIRST_MS = 1_000_000;
const SECOND_MS = 1_060_000;

/** An entry in the format of the simulated store. */
function entryOf(record: EngineRecord, revision: number): StoredObject {
  const spec = { ...record, modelVersions: [...record.modelVersions] };
  return { name: record.name, position: positionAt(revision), spec };
}

/** A router's list with one engine, and a configuration with the service of that engine. */
function listHarness(): EngineListHarness {
  const harness = new EngineListHarness({ decoder: DECODER, services: ['generation'] });
  harness.list.applyAll([entryOf(engineRecord(NAME, FIRST_MS), 5)]);
  return harness;
}

test('an entry of an unconfigured service with a later start time ends no incarnation', (t) => {
  const harness = listHarness();
  const record = engineRecord(NAME, FIRST_MS);
  const overwritten = engineRecord(NAME, SECOND_MS, { service: 'service-of-another-writer' });
  harness.list.apply(entryOf(overwritten, 6));
  // The engine gets no requests until its next valid entry.
  t.deepEqual(harness.registry.readyOf('generation'), []);
  t.deepEqual(harness.restarts, []);
  harness.list.apply(entryOf(record, 7));
  t.is(harness.registry.readyOf('generation')[0]?.record.id, record.id);
  // A second malformed entry removes the registered incarnation.
  harness.list.apply(entryOf(overwritten, 8));
  harness.list.apply({ name: NAME, position: positionAt(9), spec: null });
  harness.list.applyAll([entryOf(record, 10)]);
  t.is(harness.registry.readyOf('generation')[0]?.record.id, record.id);
  t.deepEqual(harness.restarts, []);
});

test('an entry of a configured service ends the incarnations before it, also after one of an unconfigured service', (t) => {
  const harness = listHarness();
  const THIRD_MS = SECOND_MS + 60_000;
  const first = engineRecord(NAME, FIRST_MS);
  harness.list.apply(entryOf(engineRecord(NAME, SECOND_MS, { service: 'other' }), 6));
  harness.list.apply(entryOf(first, 7));
  harness.list.apply(entryOf(engineRecord(NAME, THIRD_MS), 8));
  harness.list.apply(entryOf(first, 9));
  t.is(harness.registry.findByName(NAME)?.record.startedAtMs, THIRD_MS);
  t.deepEqual(
    harness.restarts.map(({ previous }) => previous.startedAtMs),
    [FIRST_MS],
  );
});
