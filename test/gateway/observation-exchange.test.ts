/**
 * Guards against observations that do not reach all routers, are applied twice, or are lost for good
 * after a collector died or a router restarted.
 */
import test from 'ava';
import type {
  ObservationPart,
  PrefixReadEntry,
} from '../../src/coordination/gateway/observation-exchange.js';
import { toMessage } from '../../src/protocol/peer/observation-codec.js';
import { GroupHarness } from '../helpers/group-harness.js';
import {
  PROPAGATION_MS,
  SETTLED_MS,
  collectorOf,
  startExchange,
} from '../helpers/observation-harness.js';

/** Keeps the entries that one router sent, received and collected. */
class RecordingPart implements ObservationPart<PrefixReadEntry> {
  readonly pending: PrefixReadEntry[] = [];
  readonly received: number[] = [];
  private readonly collected: PrefixReadEntry[] = [];

  takeOwn(limit: number): readonly PrefixReadEntry[] {
    return this.pending.splice(0, limit);
  }

  receive(_sender: string, entries: readonly PrefixReadEntry[]): void {
    this.received.push(...entries.map(({ partKey }) => partKey));
  }

  collect(_sender: string, entries: readonly PrefixReadEntry[]): void {
    this.collected.push(...entries);
  }

  takeSummary(limit: number): readonly PrefixReadEntry[] {
    return this.collected.splice(0, limit);
  }
}

async function exchangingGroup(
  size: number,
  seed: number,
): Promise<[GroupHarness, RecordingPart[]]> {
  const harness = await GroupHarness.create(size, seed);
  const parts = harness.routers.map((_, index) => {
    const part = new RecordingPart();
    startExchange(harness, index, { prefixReads: part });
    return part;
  });
  await harness.clock.advance(SETTLED_MS);
  return [harness, parts];
}

function readOf(partKey: number): PrefixReadEntry {
  return { engineKey: 7, partKey, tokens: 3_780, ageMs: 0, reads: 1 };
}

test('an observation reaches every router of a large group', async (t) => {
  // One summary holds the reads of all.
  const [harness, parts] = await exchangingGroup(36, 1);
  for (const [index, part] of parts.entries()) part.pending.push(readOf(index));
  await harness.clock.advance(PROPAGATION_MS);
  for (const [index, { received }] of parts.entries()) {
    t.is(new Set([...received, index]).size, parts.length);
  }
});

test('in a small group an observation reaches every other router once', async (t) => {
  const [harness, parts] = await exchangingGroup(5, 2);
  parts[0]?.pending.push(readOf(11));
  await harness.clock.advance(PROPAGATION_MS);
  t.deepEqual(
    parts.map(({ received }) => received),
    [[], [11], [11], [11], [11]],
  );
});

test('after its collector died, the group exchanges observations again within a second', async (t) => {
  const [harness, parts] = await exchangingGroup(40, 3);
  const collector = collectorOf(harness);
  harness.powerOff(collector);
  await harness.clock.advance(1_000);
  const sender = parts.at(-1);
  sender?.pending.push(readOf(21));
  await harness.clock.advance(PROPAGATION_MS);
  const reached = parts.filter(({ received }) => received.includes(21));
  t.true(reached.length >= parts.length - 1);
});

test('a duplicated datagram is applied once, and a restarted sender is heard again', async (t) => {
  const [harness, parts] = await exchangingGroup(2, 4);
  const [, receiver] = parts;
  const { group } = harness.routers[1] as { group: (typeof harness.routers)[number]['group'] };
  const reads = { engineSpeeds: [], prefixReads: [readOf(31)], tenantUses: [] };
  const arrive = (sequence: number): void =>
    group.onObservationDatagram({
      case: 'observationReport',
      value: toMessage('router-9', sequence, reads),
    });
  arrive(40);
  arrive(40);
  t.deepEqual(receiver?.received, [31]);
  await harness.clock.advance(1_000);
  arrive(1);
  t.deepEqual(receiver?.received, [31, 31]);
});

for (const size of [5, 40]) {
  test(`values that do not fit into a datagram do not stop the exchange of ${size} routers`, async (t) => {
    const [harness, parts] = await exchangingGroup(size, 5);
    const oversized = { tokens: 3_780.5, ageMs: 2 ** 33, reads: Infinity };
    parts.at(-1)?.pending.push({ ...readOf(41), ...oversized });
    await harness.clock.advance(PROPAGATION_MS);
    parts.at(-1)?.pending.push(readOf(42));
    await harness.clock.advance(PROPAGATION_MS);
    t.true(parts[2]?.received.includes(41));
    t.true(parts[2]?.received.includes(42));
  });
}
