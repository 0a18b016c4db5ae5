/**
 * Harness of a router group with crash guards, over a simulated network that may lose datagrams.
 */
import { CrashGuard, CrashSubject } from '../../src/coordination/gateway/crash-guard.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { GroupMembership } from '../../src/coordination/gateway/group-membership.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { SimulatedNetwork } from '../../src/lab/simulation/simulated-network.js';
import {
  SimulatedDatagramTransport,
  SimulatedSockets,
} from '../../src/lab/simulation/simulated-transports.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { NO_CRASH_ANNOUNCEMENTS } from '../../src/state/routing/crash-announcement-queue.js';
import { DEFAULT_REQUEST_QUARANTINE_POLICY } from '../../src/state/routing/quarantine-policy.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { countingDatagrams } from './counting-datagrams.js';
import { noopGroupEvents } from './noop-group-events.js';

/** One router of the group. */
export interface Peer {
  readonly guard: CrashGuard;
  readonly group: GroupMembership;
}

/** A group of routers with crash guards. */
export class CrashAnnouncementHarness {
  readonly clock = new VirtualClock();
  readonly peers: Peer[] = [];
  /** Number of datagrams sent by all routers. */
  datagrams = 0;
  readonly network = new SimulatedNetwork(this.clock, new SeededRandom(3));
  private readonly sockets = new SimulatedSockets(this.network);

  async start(): Promise<Peer> {
    const index = this.peers.length;
    const name = `router-${index}`;
    const host = new HostClock(this.clock);
    this.network.attach(name, host);
    const guard = new CrashGuard({
      subject: CrashSubject.Request,
      policy: DEFAULT_REQUEST_QUARANTINE_POLICY,
      statistics: new GatewayStatistics(),
      clock: host,
      logger: new NoopLogger(),
      announce: () => group.reportNow(),
    });
    const events = {
      ...noopGroupEvents({
        takeCrashAnnouncements: () => ({
          requests: guard.takeAnnouncements(),
          promptParts: NO_CRASH_ANNOUNCEMENTS,
        }),
        onCrashAnnouncements: ({ requests }, isRelayed) => guard.receive(requests, isRelayed),
      }),
      get hasCrashAnnouncements(): boolean {
        return guard.hasAnnouncements;
      },
    };
    const address = `${name}:7000`;
    const group = await GroupMembership.open(
      {
        identity: {
          nodeId: name,
          zone: 'zone-a',
          region: 'region-a',
          capacity: 1_000,
          gossipAddress: address,
          peerAddress: `${name}:80`,
        },
        seeds: ['router-0:7000', 'router-1:7000'],
      },
      countingDatagrams(
        new SimulatedDatagramTransport(this.sockets, name),
        () => (this.datagrams += 1),
      ),
      new LoadTable(),
      events,
      host,
      new SeededRandom(100 + index),
      new NoopLogger(),
    );
    group.start();
    const peer = { guard, group };
    this.peers.push(peer);
    return peer;
  }

  stop(): void {
    for (const { group } of this.peers) group.stop();
  }
}
