/** The router: creates its services and dispatches messages between them. */
import { create } from '@bufbuild/protobuf';
import { inject, injectable } from 'tsyringe';
import { type Clock, type Timer, repeat } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import {
  CLOCK,
  DATAGRAM_TRANSPORT,
  FRAME_TRANSPORT,
  HASHER,
  LOGGER,
  RANDOM,
} from '../../runtime/injection-tokens.js';
import type { DatagramTransport } from '../../transport/datagram-transport.js';
import type { FrameListener, FrameTransport } from '../../transport/frame-transport.js';
import type { EnginePort } from '../../protocol/engine/port.js';
import type { MachineListPort } from '../../protocol/machine-list/port.js';
import type { ObjectApiPort } from '../../protocol/object-api/port.js';
import {
  type DocumentRevision,
  type EngineReport,
  type Hello,
  MemberTableSchema,
  NodeRole,
  PongSchema,
  TableRequestSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody, PeerChannel } from '../../protocol/peer/peer-channel.js';
import type { PlainBackendPort } from '../../protocol/plain-backend/port.js';
import { Admission } from '../../state/admission.js';
import { EngineTable } from '../../state/engine-table.js';
import { MemberStatus, type Membership } from '../../state/membership.js';
import { PrefixDirectory } from '../../state/prefix-directory.js';
import { RetryBudgets } from '../../state/retry-budget.js';
import { Configuration, MACHINES_DOCUMENT, TEMPLATES_DOCUMENT } from '../shared/configuration.js';
import { DocumentReplicator } from '../shared/document-replicator.js';
import { BackendTable } from './backend-table.js';
import { CallServer } from './call-server.js';
import { ClaimService } from './claim-service.js';
import { EngineOwnership } from './engine-ownership.js';
import { EngineSelector } from './engine-selector.js';
import { RouterGroup } from './router-group.js';
import { decodeMemberUpdate, encodeMemberUpdate } from './member-codec.js';
import { PeerPool } from './peer-pool.js';
import { PlatformReader } from './platform-reader.js';
import type { RouterContext } from './router-context.js';
import { type RouterStatistics, createRouterStatistics } from './router-statistics.js';
import type { Protections, RouterSettings } from './settings.js';
import {
  BACKEND_PORT,
  ENGINE_PORT,
  MACHINE_LIST_PORT,
  OBJECT_API_PORT,
  PROTECTIONS,
  ROUTER_SETTINGS,
} from './tokens.js';

/** Wait after announcing the leave, so that agents stop sending new calls. */
const LEAVE_PROPAGATION_MS = 300;
const REFRESH_PERIOD_MS = 500;

/** A router of the group. */
@injectable()
export class RouterNode {
  readonly statistics: RouterStatistics = createRouterStatistics();
  readonly engines = new EngineTable();
  readonly directory = new PrefixDirectory();
  readonly configuration: Configuration;
  private readonly replicator: DocumentReplicator;
  private readonly backends = new BackendTable();
  private readonly admission = new Admission();
  private readonly budgets = new RetryBudgets();
  private readonly group: RouterGroup;
  private readonly pool: PeerPool;
  private readonly claims: ClaimService;
  private readonly calls: CallServer;
  private readonly reader: PlatformReader;
  private readonly ownership: EngineOwnership;
  private readonly selector: EngineSelector;
  private listener: FrameListener | undefined;
  private tableTimer: Timer | undefined;
  private leaving = false;

  constructor(
    @inject(ROUTER_SETTINGS) private readonly settings: RouterSettings,
    @inject(PROTECTIONS) private readonly protections: Protections,
    @inject(CLOCK) private readonly clock: Clock,
    @inject(RANDOM) private readonly random: RandomSource,
    @inject(HASHER) private readonly hasher: Hasher,
    @inject(LOGGER) private readonly logger: Logger,
    @inject(FRAME_TRANSPORT) private readonly frames: FrameTransport,
    @inject(DATAGRAM_TRANSPORT) datagrams: DatagramTransport,
    @inject(ENGINE_PORT) private readonly enginePort: EnginePort,
    @inject(BACKEND_PORT) private readonly backendPort: PlainBackendPort,
    @inject(OBJECT_API_PORT) objects: ObjectApiPort,
    @inject(MACHINE_LIST_PORT) machines: MachineListPort,
  ) {
    const { nodeId, zone } = settings;
    this.replicator = new DocumentReplicator(
      [TEMPLATES_DOCUMENT, MACHINES_DOCUMENT],
      !protections.monotonicRevisions,
    );
    this.configuration = new Configuration(logger);
    this.group = new RouterGroup(settings, datagrams, clock, random, {
      revisions: () => this.replicator.revisions(),
      onRevisions: (id, revisions) => this.onRevisions(id, revisions),
      onEngineReports: (reports) => this.applyEngineReports(reports),
    });
    this.pool = new PeerPool(
      { nodeId, zone, role: NodeRole.ROUTER },
      frames,
      this.group,
      {
        onOpen: (channel, hello) => this.onOpen(channel, hello),
        onMessage: (channel, body) => this.onMessage(channel, body),
        onClose: (channel) => this.calls.onClose(channel),
      },
      logger,
    );
    const claimGroup = {
      members: () => this.group.members(),
      isViewComplete: () => this.group.isViewComplete(),
      send: (id: string, body: PeerBody) => this.pool.send(id, body),
    };
    this.claims = new ClaimService(nodeId, claimGroup, clock, hasher);
    this.selector = new EngineSelector(zone, this.engines, this.directory, clock, random);
    this.calls = new CallServer(this.createContext());
    this.reader = new PlatformReader(
      objects,
      machines,
      this.replicator,
      () => this.group.isReader(),
      clock,
      random,
      logger,
    );
    this.ownership = this.createOwnership();
    this.replicator.onChange((name) => this.onDocument(name));
  }

  /** Address that agents and routers connect to, once started. */
  get peerAddress(): string {
    return this.listener?.address ?? this.settings.peerAddress;
  }

  /** True while the router has a configuration and machine list and isn't leaving. */
  get isReady(): boolean {
    return !this.leaving && this.configuration.isReady && this.configuration.hasMachineList;
  }

  /** Address of membership datagrams, once started. */
  get gossipAddress(): string {
    return this.group.gossipAddress;
  }

  /** Whether a report of every engine of the machine list was received, directly or from a peer. */
  get hasAllEngineReports(): boolean {
    return !this.ownership.hasUnknownEngines;
  }

  /** Suspicions raised and deaths declared by this router. */
  get membershipCounters(): Membership['counters'] {
    return this.group.counters;
  }

  get runningCalls(): number {
    return this.calls.runningCalls;
  }

  /** Identifiers of the working routers in this router's view. */
  get workingRouters(): string[] {
    return this.group.working();
  }

  async start(): Promise<void> {
    this.listener = await this.frames.listen(this.settings.peerAddress, (connection) =>
      this.pool.accept(connection),
    );
    await this.group.start(this.listener.address);
    this.reader.start();
    this.tableTimer = repeat(this.clock, REFRESH_PERIOD_MS, () => this.refresh());
    this.logger.info('router_started', { peer: this.peerAddress, gossip: this.gossipAddress });
  }

  /** Graceful stop: leaves the group, completes running calls, then closes. */
  async stop(): Promise<void> {
    this.leaving = true;
    this.group.leave();
    this.sendRouterTable();
    await new Promise<void>((resolve) => {
      this.clock.setTimer(LEAVE_PROPAGATION_MS, resolve);
    });
    await this.calls.drain();
    this.close();
    this.pool.close();
    this.logger.info('router_stopped');
  }

  private close(): void {
    this.tableTimer?.cancel();
    this.reader.stop();
    this.ownership.stop();
    this.group.stop();
    this.listener?.close();
  }

  private createContext(): RouterContext {
    return {
      nodeId: this.settings.nodeId,
      zone: this.settings.zone,
      clock: this.clock,
      random: this.random,
      hasher: this.hasher,
      logger: this.logger,
      configuration: this.configuration,
      engines: this.engines,
      directory: this.directory,
      selector: this.selector,
      backends: this.backends,
      enginePort: this.enginePort,
      backendPort: this.backendPort,
      claims: this.claims,
      admission: this.admission,
      protections: this.protections,
      statistics: this.statistics,
      retryBudgetOf: (tenant) => this.budgets.of(tenant),
    };
  }

  private createOwnership(): EngineOwnership {
    return new EngineOwnership(
      this.settings.nodeId,
      this.enginePort,
      this.engines,
      this.directory,
      {
        working: () => this.group.working(),
        send: (nodeId, body) => this.pool.send(nodeId, body),
        announceReport: (report) => this.group.announceEngineReport(report),
      },
      this.clock,
      this.hasher,
      this.logger,
    );
  }

  private onOpen(channel: PeerChannel, hello: Hello): void {
    this.replicator.sendDigest(channel);
    if (hello.role === NodeRole.AGENT) {
      channel.send({ case: 'routerTable', value: this.group.routerTable() });
      return;
    }
    if (this.group.needsTable) this.requestTable(channel);
  }

  private requestTable(channel: PeerChannel): void {
    channel.send({ case: 'tableRequest', value: create(TableRequestSchema) });
  }

  private sendTable(channel: PeerChannel): void {
    const members = this.group.members().map(encodeMemberUpdate);
    const engines = this.ownership.reports();
    channel.send({ case: 'memberTable', value: create(MemberTableSchema, { members, engines }) });
  }

  private applyEngineReports(reports: readonly EngineReport[]): void {
    for (const report of reports) {
      if (this.ownership.applyReport(report)) this.group.announceEngineReport(report);
    }
  }

  private onMessage(channel: PeerChannel, body: PeerBody): void {
    if (this.calls.handle(channel, body)) return;
    if (this.replicator.handle(channel, body)) return;
    if (this.claims.handle(channel, body)) return;
    switch (body.case) {
      case 'memberTable':
        this.group.mergeTable(body.value.members.map(decodeMemberUpdate));
        for (const report of body.value.engines) this.ownership.applyReport(report);
        break;
      case 'tableRequest':
        this.sendTable(channel);
        break;
      case 'directoryUpdate':
        this.ownership.applyUpdate(body.value);
        break;
      case 'engineReport':
        this.ownership.applyReport(body.value);
        break;
      case 'ping':
        channel.send({ case: 'pong', value: create(PongSchema) });
        break;
      default:
        this.logger.debug('message_ignored', { peer: channel.peerId, message: body.case });
    }
  }

  private onRevisions(nodeId: string, revisions: readonly DocumentRevision[]): void {
    if (!this.replicator.isBehind(revisions)) return;
    // The peer responds to the digest with the missing deltas.
    this.pool.send(nodeId, { case: 'documentDigest', value: this.replicator.digest() });
  }

  /** Picks a random peer, so that routers that start together don't all query the same one. */
  private requestTableFromRandomPeer(): void {
    const other = this.group.randomOther();
    if (other === undefined) return;
    this.pool.send(other, { case: 'tableRequest', value: create(TableRequestSchema) });
  }

  /** Applies changes of the view once per period, to batch them. */
  private refresh(): void {
    if (this.group.needsTable || this.ownership.hasUnknownEngines)
      this.requestTableFromRandomPeer();
    if (!this.group.consumeViewChange()) return;
    for (const member of this.group.members()) {
      if (member.status === MemberStatus.Dead) this.pool.disconnect(member.nodeId);
    }
    this.ownership.refresh();
    this.sendRouterTable();
  }

  private onDocument(name: string): void {
    const document = this.replicator.document(name);
    if (name === TEMPLATES_DOCUMENT) this.configuration.loadTemplates(document);
    else this.loadMachines();
    for (const channel of this.pool.agentChannels()) this.replicator.sendDigest(channel);
    this.group.announceRevisions();
  }

  private loadMachines(): void {
    this.configuration.loadMachines(this.replicator.document(MACHINES_DOCUMENT));
    const { machines } = this.configuration;
    const effectiveMachines = this.protections.respectLeaving
      ? machines
      : machines.map((machine) => ({ ...machine, leaving: false }));
    this.backends.replaceMachines(
      effectiveMachines.filter((machine) => machine.kind === 'backend'),
    );
    this.ownership.assign(effectiveMachines);
  }

  private sendRouterTable(): void {
    const value = this.group.routerTable();
    for (const channel of this.pool.agentChannels()) channel.send({ case: 'routerTable', value });
  }
}
