/** Hollow routers by the hundred: the real router code on simulated hosts, without callers. */
import type { RouterNode } from '../../coordination/router/router-node.js';
import { ALL_PROTECTIONS } from '../../coordination/router/settings.js';
import { TEMPLATES_OBJECT } from '../../coordination/router/platform-reader.js';
import { createHasher } from '../../runtime/hasher.js';
import { createTokenModel } from '../engine/token-model.js';
import { type HostedProcess, SimulatedCluster } from '../simulation/simulated-cluster.js';
import { simulationTemplates } from '../simulation/simulation-settings.js';
import { HollowEnginePort, HollowEngines } from './hollow-engine-port.js';

/** Size of a scale run. */
export interface ScaleSize {
  readonly nodes: number;
  readonly engines: number;
  readonly tenants: number;
  readonly eventsPerEngineSecond: number;
  readonly keptBlocksPerEngine: number;
  /** Chance that a datagram is lost. */
  readonly datagramLoss: number;
  readonly seed: number;
}

const ZONES = 6;
const REGIONS = 2;
const CONTACTS = 3;
const MACHINE_LIST_LAG_MS = 1_000;

/** A cluster of hollow routers. */
export class ScaleCluster {
  readonly nodes: HostedProcess<RouterNode>[] = [];
  private writes = 0;

  private constructor(
    readonly size: ScaleSize,
    readonly cluster: SimulatedCluster,
  ) {}

  /** Creates the platform and the engines; no node runs yet. */
  static async create(size: ScaleSize): Promise<ScaleCluster> {
    const cluster = new SimulatedCluster(
      size.seed,
      ALL_PROTECTIONS,
      await createHasher(),
      await createTokenModel(),
      MACHINE_LIST_LAG_MS,
    );
    const hollow = new HollowEngines(size.eventsPerEngineSecond, size.keptBlocksPerEngine);
    cluster.createEnginePort = (_name, host) => new HollowEnginePort(host, hollow);
    cluster.network.faults.datagramLoss = size.datagramLoss;
    for (let index = 0; index < size.engines; index += 1) {
      const engineId = `engine-${index}`;
      hollow.add(engineId);
      const site = `site-${index % REGIONS}`;
      cluster.fleet.addHollowEngine(engineId, { zone: `zone-${index % ZONES}`, site });
    }
    const scale = new ScaleCluster(size, cluster);
    scale.writeConfiguration();
    return scale;
  }

  /** Starts or restarts one node. */
  startNode(index: number): void {
    this.nodes[index] = this.cluster.startRouter({
      name: nodeName(index),
      zone: `zone-${index % ZONES}`,
      region: regionOf(index),
      contacts: Array.from({ length: CONTACTS }, (_, contact) => nodeName(contact)),
    });
  }

  crashNode(index: number): void {
    const node = this.nodes[index];
    if (node) this.cluster.crash(node);
  }

  /** Writes a configuration that differs from the last in one tenant; answers its version. */
  writeConfiguration(): bigint {
    const { store } = this.cluster.fleet;
    const present = store.read(TEMPLATES_OBJECT)?.version ?? 0;
    this.writes += 1;
    const content = JSON.stringify({ configuration: this.configuration() });
    const result = store.write(TEMPLATES_OBJECT, content, present);
    return BigInt(result.kind === 'written' ? result.version : present);
  }

  /** Nodes whose process runs. */
  live(): HostedProcess<RouterNode>[] {
    return this.nodes.filter(({ host }) => host.isRunning);
  }

  /** Whether each live node sees exactly the live nodes. */
  get viewsAgree(): boolean {
    const live = this.live();
    return live.every(({ node }) => node.workingRouters.length === live.length);
  }

  /** Cuts the two regions off from each other. */
  cutRegions(): void {
    this.cluster.network.setPartition(
      (left, right) => isNode(left) && isNode(right) && parityOf(left) !== parityOf(right),
    );
  }

  private configuration(): object {
    const base = simulationTemplates('v1', 0);
    const [example] = Object.values(base.tenants);
    const tenants = Object.fromEntries(
      Array.from({ length: this.size.tenants }, (_, index) => {
        const HASH_DIGITS = 64;
        const sha256 = index.toString(16).padStart(HASH_DIGITS, '0');
        const changed = index === this.writes % this.size.tenants;
        const parameters = changed ? { priority: this.writes % 10 } : {};
        return [`tenant-${index}`, { ...example, keys: [{ sha256 }], parameters }];
      }),
    );
    return { ...base, tenants };
  }
}

function nodeName(index: number): string {
  return `node-${index}`;
}

function regionOf(index: number): string {
  return `region-${index % REGIONS}`;
}

function isNode(hostName: string): boolean {
  return hostName.startsWith('node-');
}

function parityOf(hostName: string): number {
  return Number(hostName.slice('node-'.length)) % REGIONS;
}
