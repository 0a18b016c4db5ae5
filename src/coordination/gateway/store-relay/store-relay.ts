/**
 * Relay of the store at one router: the router's own store port and the server for other routers.
 */
import type { Clock } from '../../../runtime/clock.js';
import type { Logger } from '../../../runtime/logger.js';
import type { RandomSource } from '../../../runtime/random.js';
import type { FrameListener, FrameTransport } from '../../../transport/frame-transport.js';
import type { ObjectStorePort } from '../../../protocol/object-store/port.js';
import type { StoreEras } from '../../../state/routing/store-eras.js';
import type { GroupMembership } from '../group-membership.js';
import { ObjectMirrors } from './object-mirrors.js';
import { RelayClient } from './relay-client.js';
import { RelayServer } from './relay-server.js';
import { type RelaySettings, RelayedObjectStore } from './relayed-object-store.js';

/** External dependencies of the relay. */
export interface RelayDependencies {
  readonly store: ObjectStorePort;
  readonly frames: FrameTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Client and server of the relay at one router. */
export class StoreRelay {
  private constructor(
    /** Store port for this router's followers and its lease. */
    readonly store: RelayedObjectStore,
    private readonly client: RelayClient,
    private readonly server: RelayServer,
    private readonly listener: FrameListener,
  ) {}

  /** Listens for connections of other routers at this router's gossip address. */
  static async open(
    settings: RelaySettings,
    group: GroupMembership,
    eras: StoreEras,
    dependencies: RelayDependencies,
  ): Promise<StoreRelay> {
    const { store, frames, clock, random, logger } = dependencies;
    const mirrors = new ObjectMirrors();
    const client = new RelayClient(frames, clock);
    const server = new RelayServer(mirrors, settings.maximumProofAgeMs, clock, logger);
    const { own } = group;
    const listener = await frames.listen(own.gossipAddress, (connection) =>
      server.accept(connection),
    );
    const parts = { store, mirrors, client, server, group, eras, clock, random, logger };
    return new StoreRelay(new RelayedObjectStore(own, settings, parts), client, server, listener);
  }

  stop(): void {
    this.listener.close();
    this.server.stop();
    this.client.stop();
  }
}
