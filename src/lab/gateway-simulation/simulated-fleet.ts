/**
 * Engines of the simulated deployment: their incarnations, entries in the store and network
 * partitions.
 */
import { isDeepStrictEqual } from 'node:util';
import type { VirtualClock } from '../../runtime/virtual-clock.js';
import { type MalformedEntry, malformedEntryOf } from './malformed-entry.js';
import {
  type Brittleness,
  type EngineCapacity,
  type EngineIdentity,
  type RunningRequest,
  SimulatedEngine,
} from './simulated-engine.js';
import type { SimulatedObjectStore } from './simulated-object-store.js';
import type { StoredEngine } from './stored-engine.js';
import { FIRST_BUILD, GENERATION_SERVICE, KINDS, SIMULATION_MODEL } from './simulation-fixtures.js';

/** Options of a restart under the same name. */
export interface EngineRestart {
  /** Time between stop and start, in milliseconds. */
  readonly downMs: number;
  /** Duration of a network partition that begins at the stop, in milliseconds; 0: none. */
  readonly cutMs: number;
  /** Delay between the start and the write of the new entry, in milliseconds. */
  readonly entryDelayMs: number;
  /** Whether it restarts with the version before its last load. */
  readonly losesLoad: boolean;
  /** How far the engine's clock steps back, in milliseconds. */
  readonly clockStepMs: number;
}

/** Fault of a load command. */
export enum LoadCommandFault {
  /** The command is applied, but the response is lost. */
  ResponseLost = 'answer-lost',
  /** The command times out and arrives seconds later, possibly at a later incarnation. */
  Late = 'late',
}

/** Delay before a crashed engine restarts. */
const CRASH_RESTART_MS = 3_000;
/** The entry of a crashed engine expires after this time. */
const ENTRY_EXPIRY_MS = 3_600;
/** Delay before another engine reuses the address of a replaced one. */
const ADDRESS_REUSE_MS = 300;
/** Time that a draining engine keeps serving after its entry was written. */
const DRAIN_MS = 6_000;
/** Interval of heartbeats, with which an engine rewrites its entry. */
const HEARTBEAT_MS = 1_200;
const WRITE_RETRY_MS = 300;
const CRASH: EngineRestart = {
  downMs: CRASH_RESTART_MS,
  cutMs: 0,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};

/** Slots that the entry of an engine of unlimited capacity states. */
const DEFAULT_SLOTS = 8;
/** Time from the start of a brittle period until engines let fewer requests wait. */
const SHORT_QUEUE_DELAY_MS = 3_000;

/** A period in which the engines of a service are brittle; times in milliseconds. */
export interface BrittlePeriod {
  readonly service: string;
  /** Number of engines of the service at its start. */
  readonly engines: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All engines of a deployment. */
export class SimulatedFleet {
  /** Whether a crashed engine restarts under its name; otherwise a new engine replaces it. */
  restartsUnderName = false;
  /** Whether connections to engines that have ended are ignored instead of refused. */
  ignoresConnections = false;
  /** Whether proxies accept connections to engines that have ended, and close them. */
  hasProxies = false;
  /** Build of the engines that start from now on. */
  build = FIRST_BUILD;
  /** Capacity of the engines of a service; unlimited by default. */
  readonly capacities = new Map<string, EngineCapacity>();
  /** Periods in which the engines of a service are brittle. */
  readonly brittlePeriods: BrittlePeriod[] = [];
  private readonly brittleServices = new Map<string, Brittleness>();
  /** Faults of the next load commands. */
  readonly loadCommandFaults: LoadCommandFault[] = [];
  /** All incarnations of all engines, in order of start. */
  private readonly incarnations: SimulatedEngine[] = [];
  private readonly names: string[] = [];
  /** Pending requests by partitioned address. */
  private readonly partitions = new Map<string, Set<RunningRequest>>();
  private readonly malformedEntryNames = new Set<string>();

  /** @param onDraining called when the store has accepted the entry of a draining incarnation */
  constructor(
    private readonly clock: VirtualClock,
    private readonly store: SimulatedObjectStore,
    private readonly onDraining: (engineId: string) => void,
  ) {}

  /** Latest incarnation of an engine, by the engine's index in order of first starts. */
  engine(index: number): SimulatedEngine {
    const name = this.names[index % this.names.length] as string;
    return this.latestIncarnation(name) as SimulatedEngine;
  }

  /** Running engines that serve the model. */
  get generationEngines(): SimulatedEngine[] {
    return this.incarnations.filter((engine) => engine.isRunning && engine.model !== undefined);
  }

  /** Latest incarnation at an address. */
  latestAt(address: string): SimulatedEngine | undefined {
    return this.incarnations.findLast((engine) => engine.address === address);
  }

  /** Whether the incarnation of an entry is running. */
  isIncarnationRunning({ name, startedAtMs }: StoredEngine): boolean {
    const incarnation = this.latestIncarnation(name);
    return incarnation?.isRunning === true && incarnation.startedAtMs === startedAtMs;
  }

  /** Sets the capacity of all engines of a service, also of those that start later. */
  setCapacity(service: string, capacity: EngineCapacity): void {
    this.capacities.set(service, capacity);
    for (const engine of this.runningOf(service)) {
      engine.capacity = capacity;
      this.writeEntry(engine);
    }
  }

  /** Makes all engines of a service brittle for a while, also those that start meanwhile. */
  makeBrittle(service: string, brittleness: Brittleness, forMs: number): void {
    const fromMs = this.clock.now();
    const engines = this.runningOf(service);
    const period = { service, engines: engines.length, fromMs, untilMs: fromMs + forMs };
    this.brittlePeriods.push(period);
    this.brittleServices.set(service, brittleness);
    for (const engine of engines) this.applyBrittleness(engine);
    this.clock.setTimer(forMs, () => {
      this.brittleServices.delete(service);
      for (const engine of this.runningOf(service)) engine.brittleness = undefined;
    });
  }

  /** Makes all engines of a service send nothing for a while, as if their processes were paused. */
  silence(service: string, forMs: number): void {
    for (const engine of this.runningOf(service)) engine.silence(this.clock.now() + forMs);
  }

  /** Whether the name is that of a malformed entry without an engine. */
  isMalformedEntryName(name: string): boolean {
    return this.malformedEntryNames.has(name);
  }

  /** Pending requests at a partitioned address; undefined if the address is reachable. */
  partitionAt(address: string): Set<RunningRequest> | undefined {
    return this.partitions.get(address);
  }

  /** Number of engines that were added, also of those that have ended. */
  get size(): number {
    return this.names.length;
  }

  add(service: string, address?: string): void {
    const name = `engine-${this.names.length + 1}`;
    this.names.push(name);
    const model = service === GENERATION_SERVICE ? SIMULATION_MODEL : undefined;
    const { build } = this;
    const identity = { name, address: address ?? `${name}:1`, service, model, build };
    const published = this.store.get(KINDS.weightVersions, SIMULATION_MODEL)?.spec as {
      version: number;
    };
    const engine = this.start(identity, published.version, 0);
    this.store.put(KINDS.engines, name, entryOf(engine));
  }

  /** Ends an engine without a drain. A new engine takes over its address shortly after. */
  replace(index: number): void {
    const engine = this.engine(index);
    if (!engine.isRunning) return;
    engine.crash();
    this.store.remove(KINDS.engines, engine.name);
    this.clock.setTimer(ADDRESS_REUSE_MS, () => this.add(engine.service, engine.address));
  }

  /** Ends the engines of one build without a drain. New engines take over their addresses. */
  replaceBuild(service: string, build: string): void {
    for (const index of this.names.keys()) {
      const engine = this.engine(index);
      if (engine.service === service && engine.build === build) this.replace(index);
    }
  }

  /** Crashes an engine, which then restarts. */
  crash(index: number): void {
    const engine = this.engine(index);
    if (engine.isRunning) engine.crashAndRestart();
  }

  /** Restarts an engine under its name. */
  restart(index: number, options: EngineRestart): void {
    const engine = this.engine(index);
    if (!engine.isRunning) return;
    if (options.cutMs > 0) this.partition(engine.address, engine.crashUnnoticed(), options.cutMs);
    else engine.crash();
    this.scheduleRestart(engine, options);
  }

  /** Drains an engine: it announces its shutdown, serves for a while and ends. */
  drain(index: number): void {
    const engine = this.engine(index);
    const listed = this.store.get(KINDS.engines, engine.name)?.spec as StoredEngine | null;
    if (!listed || this.store.isDown) return;
    this.announceShutdown(index);
  }

  /** Drains an engine. Its responses state this immediately, its entry when the store is up. */
  announceShutdown(index: number): void {
    const engine = this.engine(index);
    if (!engine.isRunning || engine.isDraining) return;
    engine.isDraining = true;
    this.writeDrainingEntry(engine);
  }

  /** Writes a malformed entry under a name that no engine has. */
  addMalformedEntry(fault: MalformedEntry): void {
    const name = `odd-${this.malformedEntryNames.size + 1}`;
    this.malformedEntryNames.add(name);
    const identity = { ...this.engine(0).identity, name, address: `${name}:1` };
    const entry = entryOf(new SimulatedEngine(identity, this.wallMs));
    this.store.put(KINDS.engines, name, malformedEntryOf(fault, entry));
  }

  /** Overwrites an engine's entry until the engine's next heartbeat rewrites it. */
  overwriteEntry(index: number, fault: MalformedEntry): void {
    const engine = this.engine(index);
    if (!engine.isRunning || this.store.isDown) return;
    this.store.put(KINDS.engines, engine.name, malformedEntryOf(fault, entryOf(engine)));
    this.clock.setTimer(HEARTBEAT_MS, () => this.writeEntry(engine));
  }

  /**
   * Handles a restored store: each engine rewrites its entry with its next heartbeat, and entries
   * of engines that have ended expire.
   */
  rewriteEntries(): void {
    for (const [index, name] of this.names.entries()) {
      const heartbeatMs = (HEARTBEAT_MS * (index + 1)) / this.names.length;
      this.clock.setTimer(heartbeatMs, () => this.rewriteEntry(name));
      this.clock.setTimer(ENTRY_EXPIRY_MS, () => {
        if (this.latestIncarnation(name)?.isRunning === false)
          this.store.remove(KINDS.engines, name);
      });
    }
  }

  /** Ends all partitions. */
  heal(): void {
    for (const address of [...this.partitions.keys()]) this.endPartition(address);
  }

  private get wallMs(): number {
    return Math.round(this.clock.wallNow());
  }

  private latestIncarnation(name: string): SimulatedEngine | undefined {
    return this.incarnations.findLast((engine) => engine.name === name);
  }

  private runningOf(service: string): SimulatedEngine[] {
    return this.incarnations.filter((engine) => engine.isRunning && engine.service === service);
  }

  private applyBrittleness(engine: SimulatedEngine): void {
    engine.brittleness = this.brittleServices.get(engine.service);
    this.clock.setTimer(SHORT_QUEUE_DELAY_MS, () => {
      engine.hasShortQueue = true;
    });
  }

  private start(identity: EngineIdentity, version: number, clockStepMs: number): SimulatedEngine {
    const usedStartTimes = new Set(
      this.incarnations
        .filter(({ name }) => name === identity.name)
        .map(({ startedAtMs }) => startedAtMs),
    );
    let startedAtMs = this.wallMs - clockStepMs;
    while (usedStartTimes.has(startedAtMs)) startedAtMs += 1;
    const engine = new SimulatedEngine(identity, startedAtMs);
    engine.weightsVersion = version;
    engine.onCrashed = () => this.restartCrashed(engine);
    engine.capacity = this.capacities.get(engine.service);
    if (this.brittleServices.has(engine.service)) this.applyBrittleness(engine);
    this.incarnations.push(engine);
    return engine;
  }

  private scheduleRestart(previous: SimulatedEngine, options: EngineRestart): void {
    const version = options.losesLoad ? previous.previousVersion : previous.weightsVersion;
    this.clock.setTimer(options.downMs, () => {
      const identity = { ...previous.identity, build: this.build };
      const engine = this.start(identity, version, options.clockStepMs);
      this.clock.setTimer(options.entryDelayMs, () => this.writeEntry(engine));
    });
  }

  /** Restarts or replaces a crashed engine; its old entry expires unless it was rewritten. */
  private restartCrashed(previous: SimulatedEngine): void {
    if (this.restartsUnderName) this.scheduleRestart(previous, CRASH);
    else {
      this.clock.setTimer(CRASH_RESTART_MS, () => this.add(previous.service, previous.address));
    }
    this.clock.setTimer(ENTRY_EXPIRY_MS, () => this.removeEntry(previous));
  }

  private writeDrainingEntry(engine: SimulatedEngine): void {
    if (!engine.isRunning) return;
    if (this.store.isDown) {
      this.clock.setTimer(WRITE_RETRY_MS, () => this.writeDrainingEntry(engine));
      return;
    }
    this.store.put(KINDS.engines, engine.name, entryOf(engine));
    this.onDraining(engine.id);
    this.clock.setTimer(DRAIN_MS, () => this.stopDrained(engine));
  }

  private stopDrained(engine: SimulatedEngine): void {
    // A later incarnation is not draining.
    if (this.latestIncarnation(engine.name) !== engine) return;
    engine.crash();
    this.removeEntry(engine);
    this.add(engine.service);
  }

  private removeEntry(engine: SimulatedEngine): void {
    if (this.latestIncarnation(engine.name) === engine)
      this.store.remove(KINDS.engines, engine.name);
  }

  private rewriteEntry(name: string): void {
    const engine = this.latestIncarnation(name);
    if (!engine) return;
    const entry = entryOf(engine);
    // An unchanged entry must not raise the revision.
    if (!isDeepStrictEqual(this.store.get(KINDS.engines, name)?.spec, entry))
      this.writeEntry(engine);
  }

  /** Writes the entry, retrying until the store accepts it or the incarnation ends. */
  private writeEntry(engine: SimulatedEngine): void {
    if (!engine.isRunning) return;
    if (this.store.isDown) {
      this.clock.setTimer(WRITE_RETRY_MS, () => this.writeEntry(engine));
      return;
    }
    this.store.put(KINDS.engines, engine.name, entryOf(engine));
  }

  private partition(address: string, broken: readonly RunningRequest[], forMs: number): void {
    const pending = this.partitions.get(address) ?? new Set<RunningRequest>();
    for (const request of broken) pending.add(request);
    this.partitions.set(address, pending);
    this.clock.setTimer(forMs, () => this.endPartition(address));
  }

  /** Ends a partition; pending requests fail with a connection reset. */
  private endPartition(address: string): void {
    const pending = this.partitions.get(address) ?? new Set<RunningRequest>();
    this.partitions.delete(address);
    for (const request of pending) request.reset();
  }
}

function entryOf(engine: SimulatedEngine): StoredEngine {
  const { name, startedAtMs, service, address, model, build, isDraining, weightsVersion } = engine;
  return {
    name,
    build,
    startedAtMs,
    service,
    address,
    zone: 'zone-a',
    slots: engine.capacity?.slots ?? DEFAULT_SLOTS,
    isDraining,
    modelVersions: model ? [[model, weightsVersion]] : [],
  };
}
