/** Guards against too many direct readers of the store, and an uneven load on the readers. */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { chooseReaders, readerFor } from '../../src/state/routing/store-readers.js';

const members = fc.uniqueArray(
  fc.record({
    nodeId: fc.stringMatching(/^[a-z]{3}$/),
    zone: fc.constantFrom('a', 'b', 'c'),
    capacity: fc.constantFrom(300, 700, 1_400),
  }),
  { minLength: 1, maxLength: 120, selector: (each) => each.nodeId },
);

test('the readers of a large group have the highest capacities and are spread over the zones', (t) => {
  const policy = { directGroupSize: 12, routersPerReader: 40, minimumReaders: 3 };
  const property = fc.property(members, (group) => {
    const readers = chooseReaders(group, policy);
    if (group.length <= policy.directGroupSize) return readers.length === group.length;
    const isExpectedCount = readers.length === Math.max(3, Math.ceil(group.length / 40));
    const zones = [...new Set(group.map((each) => each.zone))];
    const countOf = (zone: string): number => readers.filter((each) => each.zone === zone).length;
    const sizeOf = (zone: string): number => group.filter((each) => each.zone === zone).length;
    const areSpread = zones.every((zone) =>
      zones.every((other) => countOf(zone) >= Math.min(countOf(other) - 1, sizeOf(zone))),
    );
    // No reader has less capacity than another router of its zone that does not read.
    const haveCapacity = readers.every((reader) =>
      group.every(
        (each) =>
          each.zone !== reader.zone || readers.includes(each) || each.capacity <= reader.capacity,
      ),
    );
    const areQueried = group.every((own) => {
      const reader = readerFor(own, group, policy, () => false);
      if (readers.includes(own)) return reader === undefined;
      if (reader === undefined || !readers.includes(reader)) return false;
      return reader.zone === own.zone || countOf(own.zone) === 0;
    });
    return isExpectedCount && areSpread && areQueried && haveCapacity;
  });
  fc.assert(property, { seed: 3, numRuns: 300 });
  t.pass();
});

test('the routers of zones without a reader are distributed evenly over the readers', (t) => {
  const policy = { directGroupSize: 2, routersPerReader: 40, minimumReaders: 2 };
  const group = Array.from({ length: 40 }, (_, index) => ({
    nodeId: `node-${String(index).padStart(2, '0')}`,
    zone: `zone-${index % 4}`,
    capacity: index < 2 ? 1_400 : 300,
  }));
  const queried = group
    .filter(({ zone }) => zone === 'zone-2' || zone === 'zone-3')
    .map((own) => readerFor(own, group, policy, () => false)?.nodeId);
  t.is(queried.filter((nodeId) => nodeId === 'node-00').length, 10);
  t.is(queried.filter((nodeId) => nodeId === 'node-01').length, 10);
});

test('a router reads the store directly if all readers are avoided', (t) => {
  const policy = { directGroupSize: 2, routersPerReader: 40, minimumReaders: 1 };
  const group = ['a', 'b', 'c', 'd'].map((nodeId) => ({ nodeId, zone: 'z', capacity: 1_000 }));
  const own = group[3] as (typeof group)[number];
  t.is(readerFor(own, group, policy, () => false)?.nodeId, 'a');
  t.is(
    readerFor(own, group, policy, () => true),
    undefined,
  );
});
