/** Fuzz test of a router's estimate of cached prefixes while the engine restarts under its name. */
import fc from 'fast-check';
import type { GroupMembership } from '../src/coordination/gateway/group-membership.js';
import { GatewayStatistics } from '../src/coordination/gateway/gateway-statistics.js';
import { ListedEngines } from '../src/coordination/gateway/listed-engines.js';
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import {
  DECODER,
  GENERATION_SERVICE,
  SIMULATION_MODEL,
  simulationConfiguration,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import type { InferencePort } from '../src/protocol/inference/port.js';
import { NoopLogger } from '../src/runtime/logger.js';
import { SeededRandom } from '../src/runtime/random.js';
import { VirtualClock } from '../src/runtime/virtual-clock.js';
import { ConfigurationState } from '../src/state/routing/configuration-state.js';
import { EngineHealth } from '../src/state/routing/engine-health.js';
import { CachedPrefixes } from '../src/state/routing/cached-prefixes.js';
import type { GatewayFuzzResult } from './gateway-run.js';
import { CachingEngine, SALT } from './caching-engine.js';
import { positionAt } from '../test/helpers/positions.js';

/** A step of a run. */
type Action =
  | { readonly kind: 'set-cached-tokens'; readonly part: number; readonly tokens: number }
  | { readonly kind: 'restart'; readonly entryDelayMs: number }
  | { readonly kind: 'delay-responses'; readonly delaysMs: readonly number[] }
  | { readonly kind: 'advance'; readonly spanMs: number };

const NAME = 'engine-1';
const PARTS = 6;
/** Long enough for every delayed response to arrive and every retry delay to pass. */
const SETTLE_MS = 10_000;

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('set-cached-tokens' as const),
      part: fc.nat(PARTS - 1),
      tokens: fc.constantFrom(0, 100, 200),
    }),
  },
  fc.record({
    kind: fc.constant('restart' as const),
    entryDelayMs: fc.constantFrom(0, 300, 2_000),
  }),
  fc.record({
    kind: fc.constant('delay-responses' as const),
    delaysMs: fc.array(fc.constantFrom(1, 400, 1_500), { minLength: 1, maxLength: 4 }),
  }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      spanMs: fc.constantFrom(2, 50, 300, 1_200, 3_000),
    }),
  },
);

/** A router's view of one simulated engine. */
class EngineObserver {
  readonly clock = new VirtualClock();
  readonly engine = new CachingEngine(this.clock);
  readonly cachedPrefixes = new CachedPrefixes();
  private readonly engines: ListedEngines;
  private readonly previousIds: string[] = [];
  private revision = 0;

  constructor(changeView: (view: RouterView) => RouterView) {
    const configuration = new ConfigurationState(Infinity);
    configuration.apply(simulationConfiguration(1, []), this.clock.elapsed());
    const own = { nodeId: 'router-1' };
    const view = { engines: this.engine.port as InferencePort, decoder: DECODER };
    this.engines = new ListedEngines({
      ...changeView(view),
      configuration,
      health: new EngineHealth(),
      cachedPrefixes: this.cachedPrefixes,
      group: { own, working: [own] } as unknown as GroupMembership,
      statistics: new GatewayStatistics(),
      clock: this.clock,
      random: new SeededRandom(1),
      logger: new NoopLogger(),
      drainMs: 2_000,
      entryLifetimeMs: 3_600,
    });
    this.engines.startFeeds();
    this.writeEntry();
  }

  async apply(each: Action): Promise<void> {
    if (each.kind === 'set-cached-tokens')
      this.engine.setCachedTokens(`part-${each.part}`, each.tokens);
    else if (each.kind === 'delay-responses') this.engine.responseDelaysMs.push(...each.delaysMs);
    else if (each.kind === 'advance') await this.clock.advance(each.spanMs);
    else {
      this.previousIds.push(this.currentId);
      this.engine.restart();
      this.clock.setTimer(each.entryDelayMs, () => this.writeEntry());
    }
  }

  /** Waits until the state is stable, then returns the wrong estimates. */
  async findMismatches(): Promise<string[]> {
    await this.clock.advance(SETTLE_MS);
    this.engines.stop();
    const { currentId } = this;
    const wrong = Array.from({ length: PARTS }, (_, part) => `part-${part}`).flatMap((id) => {
      const tokens = this.engine.tokensOf(id);
      const estimated =
        this.cachedPrefixes.leadingTokens(SALT, [{ id, tokens: Infinity }]).get(currentId) ?? 0;
      return estimated === tokens ? [] : [`${id}: ${estimated} tokens estimated, ${tokens} cached`];
    });
    const stale = this.previousIds.filter(
      (id) => id !== currentId && this.cachedPrefixes.sizeOf(id) > 0,
    );
    return [...wrong, ...stale.map((id) => `${id} has ended and still has cached parts`)];
  }

  private get currentId(): string {
    return this.engines.registry.findByName(NAME)?.record.id ?? NAME;
  }

  /** Writes the store entry of the current incarnation. */
  private writeEntry(): void {
    this.revision += 1;
    const spec = {
      name: NAME,
      startedAtMs: this.engine.startedAtMs,
      service: GENERATION_SERVICE,
      address: `${NAME}:1`,
      zone: 'zone-a',
      slots: 8,
      isDraining: false,
      modelVersions: [[SIMULATION_MODEL, 1]],
    };
    this.engines.list.apply({ name: NAME, position: positionAt(this.revision), spec });
    this.engines.updateFeeds();
  }
}

/**
 * Checks with a fixed seed that a router's estimate converges to what the engine's current
 * incarnation caches.
 */
export async function fuzzCachedPrefixes(
  seed: number,
  runs: number,
  makeView: () => (view: RouterView) => RouterView = () => (view) => view,
): Promise<GatewayFuzzResult> {
  const property = fc.asyncProperty(fc.array(action, { maxLength: 30 }), async (actions) => {
    const observer = new EngineObserver(makeView());
    for (const each of actions) await observer.apply(each);
    const mismatches = await observer.findMismatches();
    if (mismatches.length > 0) throw new Error(mismatches.join('\n'));
  });
  const details = await fc.check(property, { seed, numRuns: runs });
  if (!details.failed) return { kind: 'passed', runs: details.numRuns };
  const report = `${fc.defaultReportMessage(details) ?? ''}\n${String(details.errorInstance)}`;
  return { kind: 'failed', runs: details.numRuns, report };
}
