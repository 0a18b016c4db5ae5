/** Which routers of a large group read the store, and which of them the others ask. */
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

test('the readers of a large group are few, capable and spread over its zones', (t) => {
  const policy = { directGroupSize: 12, routersPerReader: 40, minimumReaders: 3 };
  const property = fc.property(members, (group) => {
    const readers = chooseReaders(group, policy);
    if (group.length <= policy.directGroupSize) return readers.length === group.length;
    const isWanted = readers.length === Math.max(3, Math.ceil(group.length / 40));
    const zones = [...new Set(group.map((each) => each.zone))];
    const countOf = (zone: string): number => readers.filter((each) => each.zone === zone).length;
    const sizeOf = (zone: string): number => group.filter((each) => each.zone === zone).length;
    const areSpread = zones.every((zone) =>
      zones.every((other) => countOf(zone) >= Math.min(countOf(other) - 1, sizeOf(zone))),
    );
    // No router that reads is less capable than one of its zone that does not.
    const areCapable = readers.every((reader) =>
      group.every(
        (each) =>
          each.zone !== reader.zone || readers.includes(each) || each.capacity <= reader.capacity,
      ),
    );
    const areAsked = group.every((own) => {
      const reader = readerFor(own, group, policy, () => false);
      if (readers.includes(own)) return reader === undefined;
      if (reader === undefined || !readers.includes(reader)) return false;
      return reader.zone === own.zone || countOf(own.zone) === 0;
    });
    return isWanted && areSpread && areAsked && areCapable;
  });
  fc.assert(property, { seed: 3, numRuns: 300 });
  t.pass();
});

test('the routers of a zone without a reader ask the readers evenly', (t) => {
  const policy = { directGroupSize: 2, routersPerReader: 40, minimumReaders: 2 };
  const group = Array.from({ length: 40 }, (_, index) => ({
    nodeId: `node-${String(index).padStart(2, '0')}`,
    zone: `zone-${index % 4}`,
    capacity: index < 2 ? 1_400 : 300,
  }));
  const asked = group
    .filter(({ zone }) => zone === 'zone-2' || zone === 'zone-3')
    .map((own) => readerFor(own, group, policy, () => false)?.nodeId);
  t.is(asked.filter((nodeId) => nodeId === 'node-00').length, 10);
  t.is(asked.filter((nodeId) => nodeId === 'node-01').length, 10);
});

test('where all readers are avoided a router reads the store itself', (t) => {
  const policy = { directGroupSize: 2, routersPerReader: 40, minimumReaders: 1 };
  const group = ['a', 'b', 'c', 'd'].map((nodeId) => ({ nodeId, zone: 'z', capacity: 1_000 }));
  const own = group[3] as (typeof group)[number];
  t.is(readerFor(own, group, policy, () => false)?.nodeId, 'a');
  t.is(
    readerFor(own, group, policy, () => true),
    undefined,
  );
});
