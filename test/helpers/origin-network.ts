/** Routers that exchange the origins of streams over a simulated network, with one store. */
import { StreamOriginExchange } from '../../src/coordination/gateway/stream-origin-exchange.js';
import type { OriginFinding } from '../../src/coordination/gateway/stream-origin-questions.js';
import { decodeClusterDatagram } from '../../src/protocol/peer/cluster-codec.js';
import { createHasher } from '../../src/runtime/hasher.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { engineRecord } from './engine-record.js';
import { StoredBuilds } from './stored-builds.js';

export const SERVICE = 'generation';
export const DELAY_MS = 2;
export const ANSWERED_MS = 100;
export const ROUTERS = 7;
export const EVERY_ROUTER = Array.from({ length: ROUTERS }, (_, index) => index);

/** Routers that exchange the origins of streams over a network with a delay. */
export class OriginNetwork {
  readonly clock = new VirtualClock();
  readonly down = new Set<string>();
  /** Routers that are cut off together from the others. */
  readonly island = new Set<string>();
  sent = 0;
  private readonly nodes = new Map<string, StreamOriginExchange>();
  private readonly registries = new Map<string, EngineRegistry>();

  private constructor(
    private readonly homes: HomeRanking,
    private readonly isFirstStart: boolean,
    readonly store: StoredBuilds,
  ) {
    for (const index of EVERY_ROUTER) this.start(index);
  }

  private start(index: number): void {
    const address = addressOf(index);
    const registry = new EngineRegistry();
    registry.put(engineRecord('engine-1', undefined, { build: 'v1' }));
    this.registries.set(address, registry);
    const send = (to: string, datagram: Uint8Array): void => this.send(address, to, datagram);
    const quotaOwnerAddresses = EVERY_ROUTER.map(addressOf);
    const otherRouterAddresses = quotaOwnerAddresses.filter((each) => each !== address);
    const group = {
      ownAddress: address,
      quotaOwnerAddresses,
      otherRouterAddresses,
      isSettled: true,
      send,
    };
    const { clock, homes } = this;
    const logger = new NoopLogger();
    const builds = this.store.sourceFor(this.isFirstStart);
    const exchange = new StreamOriginExchange({ group, builds, registry, homes, clock, logger });
    exchange.start();
    this.nodes.set(address, exchange);
  }

  /** Ends the process of a router and starts another in its place. */
  restart(index: number): void {
    this.node(index).stop();
    this.start(index);
  }

  static async create(isFirstStart = true, store = new StoredBuilds()): Promise<OriginNetwork> {
    return new OriginNetwork(new HomeRanking(await createHasher()), isFirstStart, store);
  }

  node(index: number): StreamOriginExchange {
    return this.nodes.get(addressOf(index)) as StreamOriginExchange;
  }

  /** Adds an engine of a second build, as seen by some routers. */
  addSecondBuild(routers: readonly number[]): void {
    const record = engineRecord('engine-2', undefined, { build: 'v2' });
    for (const index of routers) this.registries.get(addressOf(index))?.put(record);
  }

  /** Replaces the engine of the first build by one of the second, as seen by some routers. */
  replaceFirstBuild(routers: readonly number[]): void {
    this.addSecondBuild(routers);
    for (const index of routers) this.registries.get(addressOf(index))?.remove('engine-1');
  }

  /** Removes the engines of the second build. */
  removeSecondBuild(): void {
    for (const registry of this.registries.values()) registry.remove('engine-2');
  }

  async find(index: number, attemptId: string | undefined): Promise<OriginFinding | undefined> {
    let found: OriginFinding | undefined;
    this.node(index).find(attemptId, SERVICE, (finding) => (found = finding));
    await this.clock.advance(ANSWERED_MS);
    return found;
  }

  /** Builds at which a router lets a stream begin that may be taken up. */
  buildsForNewStream(index: number): (string | undefined)[] {
    const engines = this.registries.get(addressOf(index))?.ofService(SERVICE) ?? [];
    const eligible = this.node(index).enginesForNewStream(SERVICE, engines);
    return eligible.map(({ record }) => record.build);
  }

  private send(from: string, to: string, datagram: Uint8Array): void {
    this.sent += 1;
    this.clock.setTimer(DELAY_MS, () => {
      const body = decodeClusterDatagram(datagram);
      if (this.down.has(from) || this.down.has(to) || body?.case === undefined) return;
      if (this.island.has(from) !== this.island.has(to)) return;
      if (body.case.startsWith('streamOrigin'))
        this.nodes.get(to)?.receive(body as Parameters<StreamOriginExchange['receive']>[0]);
    });
  }
}

export function addressOf(index: number): string {
  return `router-${index}:7000`;
}
