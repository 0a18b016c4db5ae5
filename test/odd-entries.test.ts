/**
 * Guards against routers that end, or stop following the store, because another writer left an odd
 * entry: processes of the bundled program read a store on a socket, directly in a small group and
 * through readers in a large one.
 */
import test, { type ExecutionContext } from 'ava';
import { platformDecoder } from '../platform/formats.js';
import { ObjectKind } from '../platform/names.js';
import { MAXIMUM_SPEC_BYTES } from '../platform/object-store-client.js';
import { isLargerThan } from '../platform/spec-size.js';
import { limitJsonDepth } from '../src/protocol/json-depth.js';
import {
  ADDRESS_ENTRIES,
  EMPTY_OBJECTS,
  LARGE_ENTRIES,
  MODEL,
  NUMBER_ENTRIES,
  ODD_OBJECTS,
  ODD_WEIGHTS,
  type OddEntry,
  entryText,
  TRUE_ADDRESS,
  TRUE_START_MS,
  nested,
  nestedEntries,
  weightsText,
  writeConfiguration,
} from './helpers/odd-entries.js';
import { positionAt } from './helpers/positions.js';
import { RawStore } from './helpers/raw-store.js';
import { type RouterProcess, RouterProcesses, poll } from './helpers/router-processes.js';

/** In a larger group than 12, two readers read the store for the others. */
const GROUPS = { 'read directly': 3, 'read through others': 14 };
/** Time within which a draining engine must be known: every router follows other entries by then. */
const FOLLOWED_MS = 2_000;
const READ_AGAIN_MS = 10_000;
const WAIT_MS = 12_000;
const ODD_NAME = 'odd';
const VALID_ENTRIES = 5;
const LIVE_NAME = 'engine-0';
/** Ten such entries, kept as they are read, exhaust the memory of a router. */
const REWRITES = 10;
/** Several odd objects are read together, and each is current for a while. */
const BETWEEN_OBJECTS_MS = 60;
const NEXT_VERSION = 7;
/** Versions are announced within this time. */
const ANNOUNCED_MS = 400;

interface Setup {
  readonly store: RawStore;
  readonly group: RouterProcesses;
  probes: number;
}

const setups = new Map<string, Setup>();

async function setupOf(way: keyof typeof GROUPS): Promise<Setup> {
  let setup = setups.get(way);
  if (!setup) {
    const store = await RawStore.start();
    writeConfiguration(store, ObjectKind.configuration);
    for (let index = 0; index < VALID_ENTRIES; index += 1)
      store.put(ObjectKind.engines, `engine-${index}`, entryText());
    const group = await RouterProcesses.start(GROUPS[way], store.address);
    setup = { store, group, probes: 0 };
    setups.set(way, setup);
    // The group is complete and readers are chosen.
    await new Promise((resolve) => setTimeout(resolve, 4_000));
  }
  await setup.group.restartEnded();
  return setup;
}

test.after.always(async () => {
  for (const { store, group } of setups.values()) {
    await group.stop();
    store.stop();
  }
});

/** Whether the lines show that the router knows the engine. */
function follows(lines: readonly string[], engine: string, engines: number): boolean {
  return lines.some(
    (line) =>
      (line.includes('event=engine_changed ') && line.includes(` engine=${engine}@`)) ||
      (line.includes('event=engines_changed ') &&
        line.includes(' cause=list ') &&
        Number(/engines=(\d+)/.exec(line)?.[1]) >= engines),
  );
}

/** Writes a further entry, and returns after how long all routers knew it, in milliseconds. */
async function followedMs(setup: Setup, validEntries: number): Promise<number> {
  const { store, group } = setup;
  setup.probes += 1;
  const name = `probe-${setup.probes}`;
  const seen = new Map(group.routers.map((router) => [router, router.lines.length]));
  const beganMs = performance.now();
  store.put(ObjectKind.engines, name, entryText());
  const isFollowed = (router: RouterProcess): boolean =>
    follows(router.lines.slice(seen.get(router)), name, validEntries + 1);
  const areFollowing = await poll(() => group.routers.every(isFollowed), WAIT_MS);
  const tookMs = areFollowing ? performance.now() - beganMs : Infinity;
  store.remove(ObjectKind.engines, name);
  return tookMs;
}

/** Whether routers know an engine by the entry. */
function isValid({ name = ODD_NAME, spec }: OddEntry): boolean {
  const parsed = JSON.parse(limitJsonDepth(spec)) as unknown;
  if (isLargerThan(parsed, MAXIMUM_SPEC_BYTES)) return false;
  const object = { name, position: positionAt(1), spec: parsed };
  return platformDecoder.engine(object).kind === 'value';
}

interface OddWrites {
  readonly what: string;
  /** Time within which other entries are followed, if it takes longer than usual to read these. */
  readonly limitMs?: number;
  readonly entries: readonly OddEntry[];
}

const WRITES: readonly OddWrites[] = [
  ...[1_000, 10_000, 100_000].map((depth) => ({
    what: `entries nested ${depth} deep`,
    entries: nestedEntries(depth),
  })),
  ...[...nestedEntries(500_000), ...LARGE_ENTRIES].map((entry) => ({
    what: entry.what,
    entries: [entry],
  })),
  { what: 'numbers that are too large', entries: NUMBER_ENTRIES },
  { what: 'addresses that nobody can connect to', entries: ADDRESS_ENTRIES },
  {
    // A thousand valid entries take as long.
    what: '1000 entries nested 1000 deep',
    limitMs: READ_AGAIN_MS,
    entries: Array.from({ length: 1_000 }, () => ({
      what: 'one of many',
      spec: entryText({ zone: nested(1_000) }),
    })),
  },
  {
    // More than a response to a watch may hold, so that each router reads 18 MB of lists.
    what: '60 entries of 300 kB',
    limitMs: READ_AGAIN_MS,
    entries: Array.from({ length: 60 }, () => ({
      what: 'one of many',
      spec: entryText({ unknown: JSON.stringify('x'.repeat(300_000)) }),
    })),
  },
];

/** Entries that take much memory for each byte of their text, or as much as may be stored. */
const WRITTEN_AGAIN: Readonly<Record<string, string>> = {
  'an entry nested 500000 deep': nested(500_000),
  'an entry with 300000 empty objects': EMPTY_OBJECTS,
  'an entry of 1 MB': JSON.stringify('x'.repeat(1_040_000)),
};

function nameOf({ name }: OddEntry, index: number): string {
  return name ?? `${ODD_NAME}-${index}`;
}

async function check(
  t: ExecutionContext,
  setup: Setup,
  odd: readonly OddEntry[],
  limitMs = FOLLOWED_MS,
): Promise<void> {
  const { store, group } = setup;
  store.resetCalls();
  for (const [index, entry] of odd.entries())
    store.put(ObjectKind.engines, nameOf(entry, index), entry.spec, entry.revision);
  const valid = VALID_ENTRIES + odd.filter(isValid).length;
  const tookMs = [await followedMs(setup, valid), await followedMs(setup, valid)];
  const { lists, watches, bytes } = store.calls;
  for (const [index, entry] of odd.entries())
    store.remove(ObjectKind.engines, nameOf(entry, index));
  tookMs.push(await followedMs(setup, VALID_ENTRIES));
  t.log(`${tookMs.map(Math.round).join(', ')} ms; ${lists} lists, ${watches} watches, ${bytes} B`);
  t.deepEqual(group.exits, []);
  for (const each of tookMs) t.true(each < limitMs, `followed after ${each} ms`);
}

/** Waits until every router has logged a line with all texts since `seen`. */
function haveLogged(
  { group }: Setup,
  seen: ReadonlyMap<RouterProcess, number>,
  texts: readonly string[],
): Promise<boolean> {
  const isLogged = (router: RouterProcess): boolean =>
    router.lines.slice(seen.get(router)).some((line) => texts.every((text) => line.includes(text)));
  return poll(() => group.routers.every(isLogged), FOLLOWED_MS);
}

function seenLines({ group }: Setup): Map<RouterProcess, number> {
  return new Map(group.routers.map((router) => [router, router.lines.length]));
}

for (const way of Object.keys(GROUPS) as (keyof typeof GROUPS)[]) {
  for (const { what, entries, limitMs } of WRITES) {
    test.serial(`${what} end no router and hide no other entry, ${way}`, async (t) => {
      await check(t, await setupOf(way), entries, limitMs);
    });
  }
  for (const [what, unknown] of Object.entries(WRITTEN_AGAIN)) {
    test.serial(`${what} is written again and again, ${way}`, async (t) => {
      const setup = await setupOf(way);
      for (let write = 0; write < REWRITES; write += 1) {
        const spec = entryText({ unknown, sequence: String(write) });
        await check(t, setup, [{ what, spec }]);
      }
    });
  }
  test.serial(`a live engine is back after odd entries under its name, ${way}`, async (t) => {
    const setup = await setupOf(way);
    const { store, group } = setup;
    const odd = [...nestedEntries(100_000), ...NUMBER_ENTRIES, ...ADDRESS_ENTRIES];
    for (const { spec } of odd) store.put(ObjectKind.engines, LIVE_NAME, spec);
    await new Promise((resolve) => setTimeout(resolve, ANNOUNCED_MS));
    const seen = seenLines(setup);
    // The true entry has the start time that the earlier one had.
    store.put(ObjectKind.engines, LIVE_NAME, entryText({ sequence: '2' }));
    const texts = ['event=engine_changed ', ` engine=${LIVE_NAME}@${TRUE_START_MS} `, TRUE_ADDRESS];
    t.true(await haveLogged(setup, seen, texts));
    t.true((await followedMs(setup, VALID_ENTRIES)) < FOLLOWED_MS);
    t.deepEqual(group.exits, []);
  });
  test.serial(`odd versions of weights end no router and hide no other, ${way}`, async (t) => {
    const setup = await setupOf(way);
    for (const spec of ODD_WEIGHTS) {
      setup.store.put(ObjectKind.weightVersions, MODEL, spec);
      await new Promise((resolve) => setTimeout(resolve, ANNOUNCED_MS));
      t.deepEqual(setup.group.exits, [], spec.slice(0, 100));
    }
    // The highest version that can be announced, under the name of another model.
    setup.store.put(ObjectKind.weightVersions, ODD_NAME, weightsText(MODEL, '4294967295'));
    await new Promise((resolve) => setTimeout(resolve, ANNOUNCED_MS));
    const seen = seenLines(setup);
    setup.store.put(ObjectKind.weightVersions, MODEL, weightsText(MODEL, '3'));
    t.true(await haveLogged(setup, seen, ['event=weights_named ', `model=${MODEL} version=3 `]));
  });
  test.serial(
    `odd objects of the other kinds end no router and hide no other, ${way}`,
    async (t) => {
      const setup = await setupOf(way);
      const { store, group } = setup;
      for (const { kind, name, spec } of ODD_OBJECTS) {
        store.put(kind, name, spec);
        await new Promise((resolve) => setTimeout(resolve, BETWEEN_OBJECTS_MS));
        t.deepEqual(group.exits, [], `${kind}/${name}: ${spec.slice(0, 200)}`);
      }
      t.true((await followedMs(setup, VALID_ENTRIES)) < FOLLOWED_MS);
      const seen = seenLines(setup);
      writeConfiguration(store, ObjectKind.configuration, NEXT_VERSION);
      const texts = ['event=configuration_in_force ', ` version=${NEXT_VERSION} `];
      t.true(await haveLogged(setup, seen, texts));
      // A router that starts reads the objects at once.
      const [restarted] = group.routers;
      for (const { kind, name, spec } of ODD_OBJECTS)
        if (kind !== ObjectKind.configuration) store.put(kind, name, spec);
      await restarted?.end();
      await group.restartEnded();
      t.true((await followedMs(setup, VALID_ENTRIES)) < WAIT_MS);
      t.deepEqual(group.exits, []);
    },
  );
}
