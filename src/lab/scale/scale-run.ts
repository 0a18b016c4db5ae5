/** Measures startup, steady state, configuration delay and recovery of a simulated cluster. */
import { sleep } from '../../runtime/clock.js';
import type { TrafficCount } from '../simulation/traffic-meter.js';
import { ScaleCluster, type ScaleSize } from './scale-cluster.js';

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const STEP_MS = 100;
const PHASE_TIMEOUT_MS = 120_000;

/** Measurements at one cluster size. Times are in seconds of virtual time. */
export interface ScaleResult {
  readonly size: ScaleSize;
  /** From the first start until all nodes are ready and the membership has converged. */
  readonly joinSeconds: number;
  readonly steady: SteadyStateResult;
  /** From a configuration write until a node applies it, over all nodes and writes. */
  readonly inForceSeconds: { readonly p50: number; readonly p99: number; readonly worst: number };
  /** Undefined if the run ended after the configuration phase. */
  readonly recovery: RecoveryResult | undefined;
}

/** Recovery times after failures, in seconds of virtual time. */
export interface RecoveryResult {
  /** From a crash until every running node has detected it. */
  readonly detectSeconds: number;
  /** From a restart of half the nodes until they are ready, and until the membership converges. */
  readonly herdReadySeconds: number;
  readonly herdViewSeconds: number;
  /** From the end of a partition between the regions until the membership converges. */
  readonly regionHealSeconds: number;
  /** From a restart during an outage of the object store until the node is ready. */
  readonly restartWithoutApiSeconds: number;
}

/** Measurements while members, engines and configuration don't change. */
export interface SteadyStateResult {
  readonly seconds: number;
  readonly bytesPerNodeSecond: number;
  readonly byKind: readonly (readonly [string, TrafficCount])[];
  /** CPU seconds of this process per node and second, including the simulator. */
  readonly processorShare: number;
  readonly heapMegabytesPerNode: number;
  /** Running nodes that another node declared suspect or dead. */
  readonly falseSuspicions: number;
  readonly falseDeaths: number;
  readonly openWatches: number;
}

/** Called with the name of each phase when it begins. */
export type PhaseListener = (phase: string) => void;

/** Runs all phases at one cluster size; the recovery phases only if `withRecovery` is set. */
export async function runScale(
  size: ScaleSize,
  steadySeconds: number,
  withRecovery: boolean,
  onPhase: PhaseListener,
): Promise<ScaleResult> {
  const scale = await ScaleCluster.create(size);
  onPhase('join');
  const joinSeconds = await measureJoin(scale);
  onPhase('steady');
  const steady = await measureSteady(scale, steadySeconds);
  onPhase('configuration');
  const inForceSeconds = await measureConfigurationDelay(scale);
  const recovery = withRecovery ? await measureRecovery(scale, onPhase) : undefined;
  return { size, joinSeconds, steady, inForceSeconds, recovery };
}

async function measureRecovery(
  scale: ScaleCluster,
  onPhase: PhaseListener,
): Promise<RecoveryResult> {
  onPhase('detection');
  const detectSeconds = await measureDetection(scale);
  onPhase('restart of half the routers');
  const massRestart = await measureMassRestart(scale);
  onPhase('region partition');
  const regionHealSeconds = await measureRegionPartition(scale);
  onPhase('restart without object API');
  const restartWithoutApiSeconds = await measureRestartWithoutApi(scale);
  return {
    detectSeconds,
    herdReadySeconds: massRestart.ready,
    herdViewSeconds: massRestart.view,
    regionHealSeconds,
    restartWithoutApiSeconds,
  };
}

/** Returns the virtual seconds until the condition holds, or the timeout if it never does. */
async function secondsUntil(scale: ScaleCluster, condition: () => boolean): Promise<number> {
  const { clock } = scale.cluster;
  const startedMs = clock.now();
  await clock.advanceUntil(condition, PHASE_TIMEOUT_MS, STEP_MS);
  return (clock.now() - startedMs) / MS_PER_SECOND;
}

async function measureJoin(scale: ScaleCluster): Promise<number> {
  const { clock } = scale.cluster;
  const START_SPREAD_MS = 10_000;
  const startedMs = clock.now();
  const { nodes } = scale.size;
  for (let index = 0; index < nodes; index += 1) {
    scale.startNode(index);
    await clock.advance(START_SPREAD_MS / nodes);
  }
  await secondsUntil(scale, () => scale.membershipConverged && areAllReady(scale));
  return (clock.now() - startedMs) / MS_PER_SECOND;
}

function areAllReady(scale: ScaleCluster): boolean {
  return scale.runningNodes().every(({ node }) => node.isReady && node.hasAllEngineReports);
}

async function measureSteady(scale: ScaleCluster, seconds: number): Promise<SteadyStateResult> {
  const { clock, sockets, fleet } = scale.cluster;
  // Traffic caused by the join is not part of the steady state.
  const SETTLING_MS = 15_000;
  await clock.advance(SETTLING_MS);
  sockets.traffic.reset();
  const before = countSuspicions(scale);
  const cpuBefore = process.cpuUsage();
  await clock.advance(seconds * MS_PER_SECOND);
  const cpu = process.cpuUsage(cpuBefore);
  const after = countSuspicions(scale);
  const nodeSeconds = scale.size.nodes * seconds;
  const BYTES_PER_MEGABYTE = 1_000_000;
  return {
    seconds,
    bytesPerNodeSecond: sockets.traffic.totalBytes / nodeSeconds,
    byKind: sockets.traffic.byKind(),
    processorShare: (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND / nodeSeconds,
    heapMegabytesPerNode: process.memoryUsage().heapUsed / BYTES_PER_MEGABYTE / scale.size.nodes,
    falseSuspicions: after.suspicions - before.suspicions,
    falseDeaths: after.deaths - before.deaths,
    openWatches: fleet.store.openWatches,
  };
}

function countSuspicions(scale: ScaleCluster): { suspicions: number; deaths: number } {
  let suspicions = 0;
  let deaths = 0;
  for (const { node } of scale.runningNodes()) {
    suspicions += node.membershipCounters.suspicions;
    deaths += node.membershipCounters.deaths;
  }
  return { suspicions, deaths };
}

async function measureConfigurationDelay(
  scale: ScaleCluster,
): Promise<ScaleResult['inForceSeconds']> {
  const { clock } = scale.cluster;
  const WRITES = 10;
  const PAUSE_MS = 2_000;
  const delays: number[] = [];
  for (let writeIndex = 0; writeIndex < WRITES; writeIndex += 1) {
    const startedMs = clock.now();
    const version = scale.writeConfiguration();
    const pendingNodes = new Set(scale.runningNodes());
    while (pendingNodes.size > 0 && clock.now() - startedMs < PHASE_TIMEOUT_MS) {
      const FINE_STEP_MS = 20;
      await clock.advance(FINE_STEP_MS);
      for (const hosted of pendingNodes) {
        if (hosted.node.configuration.revision < version) continue;
        pendingNodes.delete(hosted);
        delays.push((clock.now() - startedMs) / MS_PER_SECOND);
      }
    }
    await advanceClock(scale, PAUSE_MS);
  }
  delays.sort((left, right) => left - right);
  const quantile = (share: number): number =>
    delays[Math.min(delays.length - 1, Math.floor(delays.length * share))] ?? 0;
  const P50 = 0.5;
  const P99 = 0.99;
  return { p50: quantile(P50), p99: quantile(P99), worst: quantile(1) };
}

async function advanceClock(scale: ScaleCluster, ms: number): Promise<void> {
  const { clock } = scale.cluster;
  const slept = sleep(clock, ms);
  await clock.advance(ms);
  await slept;
}

async function measureDetection(scale: ScaleCluster): Promise<number> {
  const crashedNode = scale.size.nodes - 1;
  scale.crashNode(crashedNode);
  const seconds = await secondsUntil(scale, () => scale.membershipConverged);
  scale.startNode(crashedNode);
  await secondsUntil(scale, () => scale.membershipConverged);
  return seconds;
}

async function measureMassRestart(scale: ScaleCluster): Promise<{ ready: number; view: number }> {
  const crashedNodes = scale.nodes.map((_, index) => index).filter((index) => index % 2 === 1);
  for (const index of crashedNodes) scale.crashNode(index);
  const DOWN_MS = 2_000;
  await scale.cluster.clock.advance(DOWN_MS);
  const startedMs = scale.cluster.clock.now();
  for (const index of crashedNodes) scale.startNode(index);
  const restarted = crashedNodes.map((index) => scale.nodes[index]);
  const ready = await secondsUntil(scale, () =>
    restarted.every((hosted) => hosted?.node.isReady ?? false),
  );
  await secondsUntil(scale, () => scale.membershipConverged);
  return { ready, view: (scale.cluster.clock.now() - startedMs) / MS_PER_SECOND };
}

async function measureRegionPartition(scale: ScaleCluster): Promise<number> {
  const PARTITION_MS = 120_000;
  scale.partitionRegions();
  await scale.cluster.clock.advance(PARTITION_MS);
  scale.cluster.network.heal();
  return secondsUntil(scale, () => scale.membershipConverged);
}

async function measureRestartWithoutApi(scale: ScaleCluster): Promise<number> {
  scale.cluster.fleet.store.faults.down = true;
  const index = scale.size.nodes >> 1;
  scale.crashNode(index);
  const DOWN_MS = 1_000;
  await scale.cluster.clock.advance(DOWN_MS);
  scale.startNode(index);
  const seconds = await secondsUntil(scale, () => scale.nodes[index]?.node.isReady ?? false);
  scale.cluster.fleet.store.faults.down = false;
  return seconds;
}
