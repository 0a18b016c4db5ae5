/** The phases of a scale run, each a measurement at one size. */
import { sleep } from '../../runtime/clock.js';
import type { TrafficCount } from '../simulation/traffic-meter.js';
import { ScaleCluster, type ScaleSize } from './scale-cluster.js';

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const STEP_MS = 100;
const LIMIT_MS = 120_000;

/** Figures of one size. Times in seconds of virtual time. */
export interface ScaleFigures {
  readonly size: ScaleSize;
  /** Until all see all after starting within ten seconds. */
  readonly joinSeconds: number;
  readonly steady: SteadyFigures;
  /** From the write to force at every node, over all nodes and writes. */
  readonly inForceSeconds: { readonly p50: number; readonly p99: number; readonly worst: number };
  /** Undefined where the run ended after the configuration phase. */
  readonly recovery: RecoveryFigures | undefined;
}

/** How the group comes back from failures. Times in seconds of virtual time. */
export interface RecoveryFigures {
  /** From a crash to the last node that knows. */
  readonly detectSeconds: number;
  /** From a restart of half the nodes until all are ready, and until all see all. */
  readonly herdReadySeconds: number;
  readonly herdViewSeconds: number;
  /** From the end of a cut between the regions until all see all. */
  readonly regionHealSeconds: number;
  /** Until a node restarted while the object API is down serves. */
  readonly restartWithoutApiSeconds: number;
}

/** Figures at rest: no change of members, engines or configuration, but cache events and loads. */
export interface SteadyFigures {
  readonly seconds: number;
  readonly bytesPerNodeSecond: number;
  readonly byKind: readonly (readonly [string, TrafficCount])[];
  /** Processor seconds of this process for each node and second: simulator included. */
  readonly processorShare: number;
  readonly heapMegabytesPerNode: number;
  /** Nodes that some node took for suspect or dead while all ran. */
  readonly falseSuspicions: number;
  readonly falseDeaths: number;
  readonly openWatches: number;
}

/** Hears which phase begins. */
export type PhaseListener = (phase: string) => void;

/** Runs the phases at one size; failures and recovery only where asked for. */
export async function runScale(
  size: ScaleSize,
  steadySeconds: number,
  withRecovery: boolean,
  onPhase: PhaseListener,
): Promise<ScaleFigures> {
  const scale = await ScaleCluster.create(size);
  onPhase('join');
  const joinSeconds = await measureJoin(scale);
  onPhase('steady');
  const steady = await measureSteady(scale, steadySeconds);
  onPhase('configuration');
  const inForceSeconds = await measureInForce(scale);
  const recovery = withRecovery ? await measureRecovery(scale, onPhase) : undefined;
  return { size, joinSeconds, steady, inForceSeconds, recovery };
}

async function measureRecovery(
  scale: ScaleCluster,
  onPhase: PhaseListener,
): Promise<RecoveryFigures> {
  onPhase('detection');
  const detectSeconds = await measureDetection(scale);
  onPhase('herd restart');
  const herd = await measureHerd(scale);
  onPhase('region cut');
  const regionHealSeconds = await measureRegionCut(scale);
  onPhase('restart without object API');
  const restartWithoutApiSeconds = await measureRestartWithoutApi(scale);
  return {
    detectSeconds,
    herdReadySeconds: herd.ready,
    herdViewSeconds: herd.view,
    regionHealSeconds,
    restartWithoutApiSeconds,
  };
}

/** Virtual seconds until the condition holds; the limit where it does not. */
async function secondsUntil(scale: ScaleCluster, condition: () => boolean): Promise<number> {
  const { clock } = scale.cluster;
  const startedMs = clock.now();
  await clock.advanceUntil(condition, LIMIT_MS, STEP_MS);
  return (clock.now() - startedMs) / MS_PER_SECOND;
}

async function measureJoin(scale: ScaleCluster): Promise<number> {
  const { clock } = scale.cluster;
  const SPREAD_MS = 10_000;
  const startedMs = clock.now();
  const { nodes } = scale.size;
  for (let index = 0; index < nodes; index += 1) {
    scale.startNode(index);
    await clock.advance(SPREAD_MS / nodes);
  }
  await secondsUntil(scale, () => scale.viewsAgree && isReady(scale));
  return (clock.now() - startedMs) / MS_PER_SECOND;
}

function isReady(scale: ScaleCluster): boolean {
  return scale.live().every(({ node }) => node.isReady && node.hasAllEngineReports);
}

async function measureSteady(scale: ScaleCluster, seconds: number): Promise<SteadyFigures> {
  const { clock, sockets, fleet } = scale.cluster;
  // What the join set off is not part of the steady state.
  const SETTLING_MS = 15_000;
  await clock.advance(SETTLING_MS);
  sockets.traffic.reset();
  const before = suspicionsOf(scale);
  const cpuBefore = process.cpuUsage();
  await clock.advance(seconds * MS_PER_SECOND);
  const cpu = process.cpuUsage(cpuBefore);
  const after = suspicionsOf(scale);
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

function suspicionsOf(scale: ScaleCluster): { suspicions: number; deaths: number } {
  let suspicions = 0;
  let deaths = 0;
  for (const { node } of scale.live()) {
    suspicions += node.membershipCounters.suspicions;
    deaths += node.membershipCounters.deaths;
  }
  return { suspicions, deaths };
}

async function measureInForce(scale: ScaleCluster): Promise<ScaleFigures['inForceSeconds']> {
  const { clock } = scale.cluster;
  const WRITES = 10;
  const PAUSE_MS = 2_000;
  const delays: number[] = [];
  for (let write = 0; write < WRITES; write += 1) {
    const startedMs = clock.now();
    const version = scale.writeConfiguration();
    const waiting = new Set(scale.live());
    while (waiting.size > 0 && clock.now() - startedMs < LIMIT_MS) {
      const FINE_STEP_MS = 20;
      await clock.advance(FINE_STEP_MS);
      for (const hosted of waiting) {
        if (hosted.node.configuration.revision < version) continue;
        waiting.delete(hosted);
        delays.push((clock.now() - startedMs) / MS_PER_SECOND);
      }
    }
    await sleepVirtual(scale, PAUSE_MS);
  }
  delays.sort((left, right) => left - right);
  const at = (share: number): number =>
    delays[Math.min(delays.length - 1, Math.floor(delays.length * share))] ?? 0;
  const P50 = 0.5;
  const P99 = 0.99;
  return { p50: at(P50), p99: at(P99), worst: at(1) };
}

async function sleepVirtual(scale: ScaleCluster, ms: number): Promise<void> {
  const { clock } = scale.cluster;
  const slept = sleep(clock, ms);
  await clock.advance(ms);
  await slept;
}

async function measureDetection(scale: ScaleCluster): Promise<number> {
  const victim = scale.size.nodes - 1;
  scale.crashNode(victim);
  const seconds = await secondsUntil(scale, () => scale.viewsAgree);
  scale.startNode(victim);
  await secondsUntil(scale, () => scale.viewsAgree);
  return seconds;
}

async function measureHerd(scale: ScaleCluster): Promise<{ ready: number; view: number }> {
  const victims = scale.nodes.map((_, index) => index).filter((index) => index % 2 === 1);
  for (const index of victims) scale.crashNode(index);
  const DOWN_MS = 2_000;
  await scale.cluster.clock.advance(DOWN_MS);
  const startedMs = scale.cluster.clock.now();
  for (const index of victims) scale.startNode(index);
  const restarted = victims.map((index) => scale.nodes[index]);
  const ready = await secondsUntil(scale, () =>
    restarted.every((hosted) => hosted?.node.isReady ?? false),
  );
  await secondsUntil(scale, () => scale.viewsAgree);
  return { ready, view: (scale.cluster.clock.now() - startedMs) / MS_PER_SECOND };
}

async function measureRegionCut(scale: ScaleCluster): Promise<number> {
  const CUT_MS = 120_000;
  scale.cutRegions();
  await scale.cluster.clock.advance(CUT_MS);
  scale.cluster.network.heal();
  return secondsUntil(scale, () => scale.viewsAgree);
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
