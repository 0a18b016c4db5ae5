/**
 * Commands of the gateway's fuzz tests: requests of each kind, and faults of routers, engines and
 * store.
 */
import fc from 'fast-check';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import type { WriteFault } from '../src/lab/gateway-simulation/simulated-object-store.js';
import {
  CRASHING_BODY,
  type RequestKind,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { type GatewayCommand, command } from './gateway-command.js';

const router = fc.nat(2);
/** Index of an engine; indexes beyond the last one wrap around. */
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
    command(`request(${index}, ${kind}, ${name}, ${key}, x${count})`, (simulation) => {
      for (let step = 0; step < count; step += 1) simulation.request(index + step, kind, name, key);
    }),
  );

/** Sends requests at a steady rate, so that faults hit requests at every stage. */
const traffic = fc
  .tuple(tenant, keyIndex, fc.constantFrom(20, 60), fc.constantFrom(25, 110, 230))
  .map(([name, key, count, gapMs]) =>
    command(`traffic(${name}, ${key}, ${count} each ${gapMs} ms)`, async (simulation) => {
      const kinds: RequestKind[] = [
        'plain-unsafe',
        'stream-resumable',
        'plain-safe',
        'stream-once',
      ];
      for (let step = 0; step < count; step += 1) {
        simulation.request(step, kinds[step % kinds.length] as RequestKind, name, key);
        await simulation.clock.advance(gapMs);
      }
    }),
  );

/** Repeats a request that crashes every engine running it, through all routers. */
const crashingRequest = fc
  .tuple(requestKind, tenant, fc.nat(1), fc.constantFrom(6, 20), fc.constantFrom(40, 700, 1_500))
  .map(([kind, name, which, count, gapMs]) =>
    command(
      `crashingRequest(${kind}, ${name}, ${which}, ${count} each ${gapMs} ms)`,
      async (simulation) => {
        for (let step = 0; step < count; step += 1) {
          simulation.request(step, kind, name, 0, `${CRASHING_BODY}-${which}`);
          await simulation.clock.advance(gapMs);
        }
      },
    ),
  );

const advance = fc
  .constantFrom(5, 12, 30, 200, 1_000, 3_000, 6_000)
  .map((spanMs) => command(`advance(${spanMs})`, (simulation) => simulation.clock.advance(spanMs)));

const disconnectCaller = fc
  .nat(2)
  .map((back) =>
    command(`disconnectCaller(${back})`, (simulation) => simulation.disconnectCaller(back)),
  );

const setMode = fc
  .tuple(engine, fc.constantFrom(...Object.values(EngineMode)))
  .map(([index, mode]) =>
    command(`setMode(${index}, ${mode})`, (simulation) => {
      simulation.engine(index).mode = mode;
    }),
  );

const replaceEngine = engine.map((index) =>
  command(`replaceEngine(${index})`, (simulation) => simulation.fleet.replace(index)),
);

const crashEngine = engine.map((index) =>
  command(`crashEngine(${index})`, (simulation) => simulation.fleet.crash(index)),
);

const drainEngine = engine.map((index) =>
  command(`drainEngine(${index})`, (simulation) => simulation.fleet.drain(index)),
);

const toggleKey = fc
  .tuple(tenant, keyIndex)
  .map(([name, key]) =>
    command(`toggleKey(${name}, ${key})`, (simulation) => simulation.toggleKey(name, key)),
  );

const publishWeights = fc.constant(
  command('publishWeights()', (simulation) => simulation.publishWeights()),
);

const killRouter = fc
  .tuple(router, durationMs)
  .map(([index, downMs]) =>
    command(`killRouter(${index}, ${downMs})`, (simulation) =>
      simulation.killRouter(index, downMs),
    ),
  );

const stopRouter = fc
  .tuple(router, fc.constantFrom(3_500, 7_500))
  .map(([index, graceMs]) =>
    command(`stopRouter(${index}, ${graceMs})`, (simulation) =>
      simulation.stopRouter(index, graceMs),
    ),
  );

const freezeRouter = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`freezeRouter(${index}, ${forMs})`, (simulation) =>
      simulation.freezeRouter(index, forMs),
    ),
  );

const suspendRouter = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`suspendRouter(${index}, ${forMs})`, (simulation) =>
      simulation.suspendRouter(index, forMs),
    ),
  );

const cutFromStore = fc
  .tuple(router, durationMs)
  .map(([index, forMs]) =>
    command(`cutFromStore(${index}, ${forMs})`, (simulation) =>
      simulation.cutFromStore(index, forMs),
    ),
  );

/** Removes a key while a router can't reach the store: the router must stop accepting the key. */
const removeKeyDuringCut = fc.tuple(router, tenant, keyIndex).map(([index, name, key]) =>
  command(`removeKeyDuringCut(${index}, ${name}, ${key})`, async (simulation) => {
    const CUT_MS = 12_000;
    const AFTER_DEADLINE_MS = 5_500;
    simulation.cutFromStore(index, CUT_MS);
    simulation.toggleKey(name, key);
    await simulation.clock.advance(AFTER_DEADLINE_MS);
    simulation.request(index, 'plain-safe', name, key);
  }),
);

/** Removes a key while a router is suspended: the router must reject the key when it resumes. */
const removeKeyDuringSuspension = fc.tuple(router, tenant, keyIndex).map(([index, name, key]) =>
  command(`removeKeyDuringSuspension(${index}, ${name}, ${key})`, async (simulation) => {
    const SUSPENDED_MS = 7_000;
    const CUT_MS = 9_000;
    simulation.cutFromStore(index, CUT_MS);
    simulation.suspendRouter(index, SUSPENDED_MS);
    simulation.toggleKey(name, key);
    await simulation.clock.advance(SUSPENDED_MS + 1);
    simulation.request(index, 'plain-safe', name, key);
  }),
);

/** Drains an engine while the router that relays store changes is cut off from the store. */
const drainDuringCut = fc.tuple(router, engine, tenant).map(([index, leaving, name]) =>
  command(`drainDuringCut(${index}, ${leaving}, ${name})`, async (simulation) => {
    const CUT_MS = 6_000;
    const AFTER_DEADLINE_MS = 2_200;
    const REQUESTS = 12;
    simulation.cutFromStore(index, CUT_MS);
    await simulation.clock.advance(50);
    simulation.fleet.drain(leaving);
    await simulation.clock.advance(AFTER_DEADLINE_MS);
    for (let step = 0; step < REQUESTS; step += 1) {
      simulation.request(
        index + 1 + (step % 2),
        step % 4 < 2 ? 'plain-safe' : 'stream-once',
        name,
        0,
      );
      await simulation.clock.advance(10);
    }
  }),
);

const stopStore = durationMs.map((forMs) =>
  command(`stopStore(${forMs})`, (simulation) => simulation.stopStore(forMs)),
);

const compact = fc.constant(command('compact()', (simulation) => simulation.store.compact()));

/** Delays list responses, so that watches and later lists overtake them. */
const delayLists = fc
  .array(fc.constantFrom(0, 40, 300, 900), { minLength: 2, maxLength: 12 })
  .map((delaysMs) =>
    command(`delayLists(${delaysMs.join(',')})`, (simulation) => {
      simulation.store.listDelaysMs.push(...delaysMs);
    }),
  );

const injectWriteFaults = fc
  .array(fc.constantFrom<WriteFault>('answer-lost', 'late'), { minLength: 1, maxLength: 3 })
  .map((faults) =>
    command(`injectWriteFaults(${faults.join(',')})`, (simulation) => {
      simulation.store.writeFaults.push(...faults);
    }),
  );

/** All commands of this module. Repeated ones are drawn more often. */
export const GATEWAY_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  request,
  request,
  request,
  traffic,
  crashingRequest,
  advance,
  advance,
  disconnectCaller,
  setMode,
  setMode,
  fc.oneof(replaceEngine, crashEngine),
  drainEngine,
  toggleKey,
  publishWeights,
  publishWeights,
  killRouter,
  stopRouter,
  fc.oneof(freezeRouter, suspendRouter),
  cutFromStore,
  fc.oneof(removeKeyDuringCut, removeKeyDuringSuspension),
  drainDuringCut,
  stopStore,
  compact,
  delayLists,
  injectWriteFaults,
];

/** Generates sequences of at most `maximum` commands. */
export type CommandSource = (maximum: number) => fc.Arbitrary<Iterable<GatewayCommand>>;

/** Generates sequences of this module's commands. */
export const gatewayCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS], { maxCommands: maximum });
