/** Runs router nodes on many simulated hosts, with synthetic engines and without callers. */
import type { RouterNode } from '../../coordination/router/router-node.js';
import { ALL_PROTECTIONS } from '../../coordination/router/settings.js';
import { TEMPLATES_OBJECT } from '../../coordination/router/platform-reader.js';
import { createHasher } from '../../runtime/hasher.js';
import { createTokenModel } from '../engine/token-model.js';
import { type HostedProcess, SimulatedCluster } from '../simulation/simulated-cluster.js';
import { simulationTemplates } from '../simulation/simulation-settings.js';
import { SyntheticEnginePort, SyntheticEngines } from './synthetic-engine-port.js';

/** Size of a scale run. */
export interface ScaleSize {
  readonly nodes: number;
  readonly engines: number;
  readonly tenants: number;
  readonly eventsPerEngineSecond: number;
  readonly keptBlocksPerEngine: number;
  /** Probability that a datagram is lost. */
  readonly datagramLoss: number;
  readonly seed: number;
}

const ZONES = 6;
const REGIONS = 2;
const CONTACTS_PER_NODE = 3;
const MACHINE_LIST_LAG_MS = 1_000;

/** A simulated cluster of routers with synthetic engines. */
export class ScaleCluster {
  readonly nodes: HostedProcess<RouterNode>[] = [];
  private configurationWrites = 0;

  private constructor(
    readonly size: ScaleSize,
    readonly cluster: SimulatedCluster,
  ) {}

  /** Creates the platform and the engines without starting any node. */
  static async create(size: ScaleSize): Promise<ScaleCluster> {
    const cluster = new SimulatedCluster(
      size.seed,
      ALL_PROTECTIONS,
      await createHasher(),
      await createTokenModel(),
      MACHINE_LIST_LAG_MS,
    );
    const syntheticEngines = new SyntheticEngines(
      size.eventsPerEngineSecond,
      size.keptBlocksPerEngine,
    );
    cluster.createEnginePort = (_name, host) => new SyntheticEnginePort(host, syntheticEngines);
    cluster.network.faults.datagramLoss = size.datagramLoss;
    for (let index = 0; index < size.engines; index += 1) {
      const engineId = `engine-${index}`;
      syntheticEngines.add(engineId);
      const site = `site-${index % REGIONS}`;
      cluster.fleet.addSyntheticEngine(engineId, { zone: `zone-${index % ZONES}`, site });
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
      contacts: Array.from({ length: CONTACTS_PER_NODE }, (_, contact) => nodeName(contact)),
    });
  }

  crashNode(index: number): void {
    const node = this.nodes[index];
    if (node) this.cluster.crash(node);
  }

  /** Writes a configuration in which one other tenant is changed, and returns its version. */
  writeConfiguration(): bigint {
    const { store } = this.cluster.fleet;
    const currentVersion = store.read(TEMPLATES_OBJECT)?.version ?? 0;
    this.configurationWrites += 1;
    const content = JSON.stringify({ configuration: this.configuration() });
    const result = store.write(TEMPLATES_OBJECT, content, currentVersion);
    return BigInt(result.kind === 'written' ? result.version : currentVersion);
  }

  /** Nodes whose process is running. */
  runningNodes(): HostedProcess<RouterNode>[] {
    return this.nodes.filter(({ host }) => host.isRunning);
  }

  /** Whether every running node considers as many routers working as are running. */
  get membershipConverged(): boolean {
    const running = this.runningNodes();
    return running.every(({ node }) => node.workingRouters.length === running.length);
  }

  /** Blocks all traffic between routers of different regions. */
  partitionRegions(): void {
    this.cluster.network.setPartition(
      (left, right) =>
        isNode(left) && isNode(right) && regionIndexOf(left) !== regionIndexOf(right),
    );
  }

  private configuration(): object {
    const base = simulationTemplates('v1', 0);
    const [example] = Object.values(base.tenants);
    const tenants = Object.fromEntries(
      Array.from({ length: this.size.tenants }, (_, index) => {
        const HASH_DIGITS = 64;
        const sha256 = index.toString(16).padStart(HASH_DIGITS, '0');
        const isChanged = index === this.configurationWrites % this.size.tenants;
        const parameters = isChanged ? { priority: this.configurationWrites % 10 } : {};
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

function regionIndexOf(hostName: string): number {
  return Number(hostName.slice('node-'.length)) % REGIONS;
}
