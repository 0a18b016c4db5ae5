/** Commands of the gateway's fuzz: requests of each kind and the faults of routers, engines and store. */
import fc from 'fast-check';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import type { WriteFault } from '../src/lab/gateway-simulation/simulated-object-store.js';
import {
  CRASHING_BODY,
  type RequestKind,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';

const router = fc.nat(2);
/** An engine by its place; places beyond the last one begin anew. */
export const engine = fc.nat(9);
const tenant = fc.constantFrom('tenant-1', 'tenant-2');
const keyIndex = fc.nat(1);
const requestKind = fc.constantFrom<RequestKind>(
  'plain-unsafe',
  'plain-unsafe',
  'plain-safe',
  'stream-resumable',
  'stream-once',
);
const durationMs = fc.constantFrom(300, 1_500, 4_000, 8_000);

const request = fc
  .tuple(router, requestKind, tenant, keyIndex, fc.integer({ min: 1, max: 4 }))
  .map(([index, kind, name, key, count]) =>
    command(`request(${index}, ${kind}, ${name}, ${key}, x${count})`, (world) => {
      for (let turn = 0; turn < count; turn += 1) world.request(index + turn, kind, name, key);
    }),
  );

/** A span with requests all along, so that faults meet requests at every stage. */
const traffic = fc
  .tuple(tenant, keyIndex, fc.constantFrom(20, 60), fc.constantFrom(25, 110, 230))
  .map(([name, key, count, gapMs]) =>
    command(`traffic(${name}, ${key}, ${count} each ${gapMs} ms)`, async (world) => {
      const kinds: RequestKind[] = [
        'plain-unsafe',
        'stream-resumable',
        'plain-safe',
        'stream-once',
      ];
      for (let turn = 0; turn < count; turn += 1) {
        world.request(turn, kinds[turn % kinds.length] as RequestKind, name, key);
        await world.clock.advance(gapMs);
      }
    }),
  );

/** A request that crashes each engine that runs it comes again and again, through all routers. */
const crashingRequest = fc
  .tuple(requestKind, tenant, fc.nat(1), fc.constantFrom(6, 20), fc.constantFrom(40, 700, 1_500))
  .map(([kind, name, which, count, gapMs]) =>
    command(
      `crashingRequest(${kind}, ${name}, ${which}, ${count} each ${gapMs} ms)`,
      async (world) => {
        for (let turn = 0; turn < count; turn += 1) {
          world.request(turn, kind, name, 0, `${CRASHING_BODY}-${which}`);
          await world.clock.advance(gapMs);
        }
      },
    ),
  );

const advance = fc
  .constantFrom(5, 12, 30, 200, 1_000, 3_000, 6_000)
  .map((spanMs) => command(`advance(${spanMs})`, (world) => world.clock.advance(spanMs)));

const leave = fc
  .nat(2)
  .map((back) => command(`leaveCaller(${back})`, (world) => world.leaveCaller(back)));

const setMode = fc
  .tuple(engine, fc.constantFrom(...Object.values(EngineMode)))
  .map(([index, mode]) =>
    command(`setMode(${index}, ${mode})`, (world) => {
      world.engine(index).mode = mode;
    }),
  );

const replaceEngine = engine.map((index) =>
  command(`replaceEngine(${index})`, (world) => world.fleet.replace(index)),
);

const crashEngine = engine.map((index) =>
  command(`crashEngine(${index})`, (world) => world.fleet.crash(index)),
);

const drainEngine = engine.map((index) =>
  command(`drainEngine(${index})`, (world) => world.fleet.drain(index)),
);

const toggleKey = fc
  .tuple(tenant, keyIndex)
  .map(([name, key]) =>
    command(`toggleKey(${name}, ${key})`, (world) => world.toggleKey(name, key)),
  );

const nameWeights = fc.constant(command('nameWeights()', (world) => world.nameWeights()));

const killRouter = fc
  .tuple(router, durationMs)
  .map(([index, downMs]) =>
    command(`killRouter(${index}, ${downMs})`, (world) => world.killRouter(index, downMs)),
  );

const stopRouter = fc
  .tuple(router, fc.constantFrom(3_500, 7_500))
  .map(([index, graceMs]) =>
    command(`stopRouter(${index}, ${graceMs})`, (world) => world.stopRouter(index, graceMs)),
  );

const freezeRouter = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`freezeRouter(${index}, ${forMs})`, (world) => world.freezeRouter(index, forMs)),
  );

const suspendRouter = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`suspendRouter(${index}, ${forMs})`, (world) => world.suspendRouter(index, forMs)),
  );

const cutFromStore = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`cutFromStore(${index}, ${forMs})`, (world) => world.cutFromStore(index, forMs)),
  );

/** A router that has no way to the store must stop honouring a key that was taken away meanwhile. */
const removeKeyBehindCut = fc.tuple(router, tenant, keyIndex).map(([index, name, key]) =>
  command(`removeKeyBehindCut(${index}, ${name}, ${key})`, async (world) => {
    const CUT_MS = 12_000;
    const BEYOND_BOUND_MS = 5_500;
    world.cutFromStore(index, CUT_MS);
    world.toggleKey(name, key);
    await world.clock.advance(BEYOND_BOUND_MS);
    world.request(index, 'plain-safe', name, key);
  }),
);

/** A router that was suspended must not honour, as it wakes, a key that was taken away meanwhile. */
const removeKeyBehindSuspension = fc.tuple(router, tenant, keyIndex).map(([index, name, key]) =>
  command(`removeKeyBehindSuspension(${index}, ${name}, ${key})`, async (world) => {
    const SUSPENDED_MS = 7_000;
    const CUT_MS = 9_000;
    world.cutFromStore(index, CUT_MS);
    world.suspendRouter(index, SUSPENDED_MS);
    world.toggleKey(name, key);
    await world.clock.advance(SUSPENDED_MS + 1);
    world.request(index, 'plain-safe', name, key);
  }),
);

/** Routers that follow the store through one that is cut off must hear of a leaving engine all the same. */
const drainBehindCut = fc.tuple(router, engine, tenant).map(([index, leaving, name]) =>
  command(`drainBehindCut(${index}, ${leaving}, ${name})`, async (world) => {
    const CUT_MS = 6_000;
    const BEYOND_BOUND_MS = 2_200;
    const REQUESTS = 12;
    world.cutFromStore(index, CUT_MS);
    await world.clock.advance(50);
    world.fleet.drain(leaving);
    await world.clock.advance(BEYOND_BOUND_MS);
    for (let turn = 0; turn < REQUESTS; turn += 1) {
      world.request(index + 1 + (turn % 2), turn % 4 < 2 ? 'plain-safe' : 'stream-once', name, 0);
      await world.clock.advance(10);
    }
  }),
);

const stopStore = durationMs.map((forMs) =>
  command(`stopStore(${forMs})`, (world) => world.stopStore(forMs)),
);

const compact = fc.constant(command('compact()', (world) => world.store.compact()));

/** Lists are answered in disorder, so that watches and later lists overtake them. */
const slowLists = fc
  .array(fc.constantFrom(0, 40, 300, 900), { minLength: 2, maxLength: 12 })
  .map((delaysMs) =>
    command(`slowLists(${delaysMs.join(',')})`, (world) => {
      world.store.listDelaysMs.push(...delaysMs);
    }),
  );

const faultWrites = fc
  .array(fc.constantFrom<WriteFault>('answer-lost', 'late'), { minLength: 1, maxLength: 3 })
  .map((faults) =>
    command(`faultWrites(${faults.join(',')})`, (world) => {
      world.store.writeFaults.push(...faults);
    }),
  );

/** Every command of this module; those that stand twice are drawn more often. */
export const GATEWAY_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  request,
  request,
  request,
  traffic,
  crashingRequest,
  advance,
  advance,
  leave,
  setMode,
  setMode,
  fc.oneof(replaceEngine, crashEngine),
  drainEngine,
  toggleKey,
  nameWeights,
  nameWeights,
  killRouter,
  stopRouter,
  fc.oneof(freezeRouter, suspendRouter),
  cutFromStore,
  fc.oneof(removeKeyBehindCut, removeKeyBehindSuspension),
  drainBehindCut,
  stopStore,
  compact,
  slowLists,
  faultWrites,
];

/** Draws sequences of at most so many commands. */
export type CommandSource = (maximum: number) => fc.Arbitrary<Iterable<GatewayCommand>>;

/** Sequences of commands. */
export const gatewayCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS], { maxCommands: maximum });
