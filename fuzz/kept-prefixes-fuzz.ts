/** Fuzzes what a router believes that an engine keeps, while the engine restarts under its name. */
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
import { SilentLogger } from '../src/runtime/logger.js';
import { SeededRandom } from '../src/runtime/random.js';
import { VirtualClock } from '../src/runtime/virtual-clock.js';
import { ConfigurationState } from '../src/state/routing/configuration-state.js';
import { EngineHealth } from '../src/state/routing/engine-health.js';
import { CachedPrefixes } from '../src/state/routing/cached-prefixes.js';
import type { GatewayFuzzResult } from './gateway-run.js';
import { KeepingEngine, SALT } from './keeping-engine.js';
import { positionAt } from '../test/helpers/positions.js';

/** One thing that happens. */
type Action =
  | { readonly kind: 'keep'; readonly part: number; readonly tokens: number }
  | { readonly kind: 'restart'; readonly entryDelayMs: number }
  | { readonly kind: 'delay-answers'; readonly delaysMs: readonly number[] }
  | { readonly kind: 'advance'; readonly spanMs: number };

const NAME = 'engine-1';
const PARTS = 6;
/** All answers have arrived and every pause after a failure is over. */
const SETTLE_MS = 10_000;

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('keep' as const),
      part: fc.nat(PARTS - 1),
      tokens: fc.constantFrom(0, 100, 200),
    }),
  },
  fc.record({
    kind: fc.constant('restart' as const),
    entryDelayMs: fc.constantFrom(0, 300, 2_000),
  }),
  fc.record({
    kind: fc.constant('delay-answers' as const),
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

/** One router and the engine that it follows. */
class FollowedEngine {
  readonly clock = new VirtualClock();
  readonly engine = new KeepingEngine(this.clock);
  readonly kept = new CachedPrefixes();
  private readonly engines: ListedEngines;
  private readonly formerIds: string[] = [];
  private revision = 0;

  constructor(changeView: (view: RouterView) => RouterView) {
    const configuration = new ConfigurationState(Infinity);
    configuration.adopt(simulationConfiguration(1, []), this.clock.elapsed());
    const own = { nodeId: 'router-1' };
    const view = { engines: this.engine.port as InferencePort, decoder: DECODER };
    this.engines = new ListedEngines({
      ...changeView(view),
      configuration,
      health: new EngineHealth(),
      kept: this.kept,
      group: { own, working: [own] } as unknown as GroupMembership,
      statistics: new GatewayStatistics(),
      clock: this.clock,
      random: new SeededRandom(1),
      logger: new SilentLogger(),
      drainMs: 2_000,
      entryLifetimeMs: 3_600,
    });
    this.engines.startFeeds();
    this.enter();
  }

  async take(each: Action): Promise<void> {
    if (each.kind === 'keep') this.engine.keep(`part-${each.part}`, each.tokens);
    else if (each.kind === 'delay-answers') this.engine.delaysMs.push(...each.delaysMs);
    else if (each.kind === 'advance') await this.clock.advance(each.spanMs);
    else {
      this.formerIds.push(this.presentId);
      this.engine.restart();
      this.clock.setTimer(each.entryDelayMs, () => this.enter());
    }
  }

  /** Lets everything come to rest; answers what is believed and isn't so. */
  async wrongBeliefs(): Promise<string[]> {
    await this.clock.advance(SETTLE_MS);
    this.engines.stop();
    const { presentId } = this;
    const wrong = Array.from({ length: PARTS }, (_, part) => `part-${part}`).flatMap((id) => {
      const tokens = this.engine.tokensOf(id);
      const believed =
        this.kept.leadingTokens(SALT, [{ id, tokens: Infinity }]).get(presentId) ?? 0;
      return believed === tokens ? [] : [`${id}: ${believed} believed of ${tokens}`];
    });
    const former = this.formerIds.filter((id) => id !== presentId && this.kept.sizeOf(id) > 0);
    return [...wrong, ...former.map((id) => `${id} is over and believed to keep parts`)];
  }

  private get presentId(): string {
    return this.engines.registry.findByName(NAME)?.record.id ?? NAME;
  }

  /** The present life writes its entry. */
  private enter(): void {
    this.revision += 1;
    const spec = {
      name: NAME,
      bornMs: this.engine.bornMs,
      service: GENERATION_SERVICE,
      address: `${NAME}:1`,
      zone: 'zone-a',
      slots: 8,
      isDraining: false,
      modelVersions: [[SIMULATION_MODEL, 1]],
    };
    this.engines.list.take({ name: NAME, position: positionAt(this.revision), spec });
    this.engines.updateFeeds();
  }
}

/** Fuzzes with a fixed seed: at rest, a router believes just what the engine's present life keeps. */
export async function fuzzKeptPrefixes(
  seed: number,
  runs: number,
  makeView: () => (view: RouterView) => RouterView = () => (view) => view,
): Promise<GatewayFuzzResult> {
  const property = fc.asyncProperty(fc.array(action, { maxLength: 30 }), async (actions) => {
    const world = new FollowedEngine(makeView());
    for (const each of actions) await world.take(each);
    const wrong = await world.wrongBeliefs();
    if (wrong.length > 0) throw new Error(wrong.join('\n'));
  });
  const details = await fc.check(property, { seed, numRuns: runs });
  if (!details.failed) return { kind: 'passed', runs: details.numRuns };
  const report = `${fc.defaultReportMessage(details) ?? ''}\n${String(details.errorInstance)}`;
  return { kind: 'failed', runs: details.numRuns, report };
}
