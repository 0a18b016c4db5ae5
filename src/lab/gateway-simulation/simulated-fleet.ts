/** The engines of the simulated deployment: their lives, their entries in the store, the ways to them. */
import { isDeepStrictEqual } from 'node:util';
import type { VirtualClock } from '../../runtime/virtual-clock.js';
import { type MalformedEntry, malformedEntryOf } from './malformed-entry.js';
import { type EngineIdentity, type RunningRequest, SimulatedEngine } from './simulated-engine.js';
import type { SimulatedObjectStore } from './simulated-object-store.js';
import type { StoredEngine } from './stored-engine.js';
import { GENERATION_SERVICE, KINDS, SIMULATION_MODEL } from './simulation-fixtures.js';

/** How an engine starts again under its name. */
export interface EngineRestart {
  /** Time from its end to its next start, in milliseconds. */
  readonly downMs: number;
  /** From its end there is no way to the engine for this long: what is sent to it hangs. 0: no cut. */
  readonly cutMs: number;
  /** The new life's entry is written this long after its start. */
  readonly entryDelayMs: number;
  /** Whether it comes back with the version that its last load has replaced. */
  readonly losesLoad: boolean;
  /** How far the engine's clock has stepped back meanwhile. */
  readonly clockStepMs: number;
}

/** What becomes of an order. */
export enum OrderFault {
  /** It is taken, and the answer is lost. */
  AnswerLost = 'answer-lost',
  /** It gets no answer and arrives seconds later, at whatever life the engine has then. */
  Late = 'late',
}

/** An engine that a request has crashed is back after this time. */
const CRASH_RESTART_MS = 3_000;
/** The entry of a crashed engine lapses after this time. */
const ENTRY_LAPSE_MS = 3_600;
/** An engine whose address is free again gets it to another after this time. */
const REUSE_AFTER_MS = 300;
/** An engine that leaves serves on for this long after the store knows. */
const SERVES_ON_MS = 6_000;
/** An engine writes its entry at least this often. */
const HEARTBEAT_MS = 1_200;
const ENTRY_RETRY_MS = 300;
const CRASH: EngineRestart = {
  downMs: CRASH_RESTART_MS,
  cutMs: 0,
  entryDelayMs: 0,
  losesLoad: false,
  clockStepMs: 0,
};

/** The engines. */
export class SimulatedFleet {
  /** Whether an engine that crashes starts again under its name; else another takes its place. */
  restartsUnderName = false;
  /** What becomes of the next orders. */
  readonly orderFaults: OrderFault[] = [];
  /** Every life of every engine, in the order in which they began. */
  private readonly lives: SimulatedEngine[] = [];
  private readonly names: string[] = [];
  /** By address without a way to it: what hangs there. */
  private readonly cuts = new Map<string, Set<RunningRequest>>();
  private readonly oddNames = new Set<string>();

  /** @param onDraining called when the store has taken that a life leaves */
  constructor(
    private readonly clock: VirtualClock,
    private readonly store: SimulatedObjectStore,
    private readonly onDraining: (engineId: string) => void,
  ) {}

  /** The present life of an engine, by the engine's place in the order of first starts. */
  engine(index: number): SimulatedEngine {
    const name = this.names[index % this.names.length] as string;
    return this.lifeOf(name) as SimulatedEngine;
  }

  /** The running engines that hold the model. */
  get generationEngines(): SimulatedEngine[] {
    return this.lives.filter((engine) => engine.isRunning && engine.model !== undefined);
  }

  /** The life that began last at an address. */
  at(address: string): SimulatedEngine | undefined {
    return this.lives.findLast((engine) => engine.address === address);
  }

  /** Whether a life, as an entry names it, is running. */
  isAlive({ name, bornMs }: StoredEngine): boolean {
    const life = this.lifeOf(name);
    return life?.isRunning === true && life.bornMs === bornMs;
  }

  /** Whether a name is of another writer's entry and of no engine. */
  isOddName(name: string): boolean {
    return this.oddNames.has(name);
  }

  /** What hangs at an address to which there is no way; undefined where there is one. */
  cutAt(address: string): Set<RunningRequest> | undefined {
    return this.cuts.get(address);
  }

  add(service: string, address?: string): void {
    const name = `engine-${this.names.length + 1}`;
    this.names.push(name);
    const model = service === GENERATION_SERVICE ? SIMULATION_MODEL : undefined;
    const identity = { name, address: address ?? `${name}:1`, service, model };
    const named = this.store.get(KINDS.weightVersions, SIMULATION_MODEL)?.spec as {
      version: number;
    };
    const engine = this.begin(identity, named.version, 0);
    this.store.put(KINDS.engines, name, entryOf(engine));
  }

  /** An engine dies without announcing it; another takes its address a little later. */
  replace(index: number): void {
    const engine = this.engine(index);
    if (!engine.isRunning) return;
    engine.crash();
    this.store.remove(KINDS.engines, engine.name);
    this.clock.setTimer(REUSE_AFTER_MS, () => this.add(engine.service, engine.address));
  }

  /** An engine crashes without a request being the cause, and comes back as it does after one. */
  crash(index: number): void {
    const engine = this.engine(index);
    if (engine.isRunning) engine.crashAndRestart();
  }

  /** An engine ends and starts again under its name. */
  restart(index: number, rebirth: EngineRestart): void {
    const engine = this.engine(index);
    if (!engine.isRunning) return;
    if (rebirth.cutMs > 0) this.cutOff(engine.address, engine.crashUnseen(), rebirth.cutMs);
    else engine.crash();
    this.beginAgain(engine, rebirth);
  }

  /** An engine announces that it leaves, serves a while longer and ends. */
  drain(index: number): void {
    const engine = this.engine(index);
    const listed = this.store.get(KINDS.engines, engine.name)?.spec as StoredEngine | null;
    if (!listed || this.store.isDown) return;
    this.leave(index);
  }

  /** An engine leaves: its answers say so at once, its entry as soon as the store takes it. */
  leave(index: number): void {
    const engine = this.engine(index);
    if (!engine.isRunning || engine.isDraining) return;
    engine.isDraining = true;
    this.enterDraining(engine);
  }

  /** Another writer leaves an entry under a name that is no engine's. */
  addOddEntry(odd: MalformedEntry): void {
    const name = `odd-${this.oddNames.size + 1}`;
    this.oddNames.add(name);
    const identity = { ...this.engine(0).identity, name, address: `${name}:1` };
    const entry = entryOf(new SimulatedEngine(identity, this.wallMs));
    this.store.put(KINDS.engines, name, malformedEntryOf(odd, entry));
  }

  /** Another writer overwrites an engine's entry, which the engine writes again with its next heartbeat. */
  overwriteEntry(index: number, odd: MalformedEntry): void {
    const engine = this.engine(index);
    if (!engine.isRunning || this.store.isDown) return;
    this.store.put(KINDS.engines, engine.name, malformedEntryOf(odd, entryOf(engine)));
    this.clock.setTimer(HEARTBEAT_MS, () => this.writeEntry(engine));
  }

  /**
   * The store has gone back to an older copy: with its next heartbeat each engine enters again as it is, and
   * entries of engines that have ended lapse.
   */
  writeEntriesAgain(): void {
    for (const [index, name] of this.names.entries()) {
      const heartbeatMs = (HEARTBEAT_MS * (index + 1)) / this.names.length;
      this.clock.setTimer(heartbeatMs, () => this.writeEntryAgain(name));
      this.clock.setTimer(ENTRY_LAPSE_MS, () => {
        if (this.lifeOf(name)?.isRunning === false) this.store.remove(KINDS.engines, name);
      });
    }
  }

  /** Ends every cut. */
  heal(): void {
    for (const address of [...this.cuts.keys()]) this.endCut(address);
  }

  private get wallMs(): number {
    return Math.round(this.clock.wallNow());
  }

  private lifeOf(name: string): SimulatedEngine | undefined {
    return this.lives.findLast((engine) => engine.name === name);
  }

  private begin(identity: EngineIdentity, version: number, clockStepMs: number): SimulatedEngine {
    const taken = new Set(
      this.lives.filter(({ name }) => name === identity.name).map(({ bornMs }) => bornMs),
    );
    let bornMs = this.wallMs - clockStepMs;
    while (taken.has(bornMs)) bornMs += 1;
    const engine = new SimulatedEngine(identity, bornMs);
    engine.weightsVersion = version;
    engine.onCrashed = () => this.restartCrashed(engine);
    this.lives.push(engine);
    return engine;
  }

  private beginAgain(former: SimulatedEngine, rebirth: EngineRestart): void {
    const version = rebirth.losesLoad ? former.earlierVersion : former.weightsVersion;
    this.clock.setTimer(rebirth.downMs, () => {
      const engine = this.begin(former.identity, version, rebirth.clockStepMs);
      this.clock.setTimer(rebirth.entryDelayMs, () => this.writeEntry(engine));
    });
  }

  /** A crashed engine comes back at its address; its old entry lapses unless a new one is there. */
  private restartCrashed(former: SimulatedEngine): void {
    if (this.restartsUnderName) this.beginAgain(former, CRASH);
    else {
      this.clock.setTimer(CRASH_RESTART_MS, () => this.add(former.service, former.address));
    }
    this.clock.setTimer(ENTRY_LAPSE_MS, () => this.removeEntry(former));
  }

  private enterDraining(engine: SimulatedEngine): void {
    if (!engine.isRunning) return;
    if (this.store.isDown) {
      this.clock.setTimer(ENTRY_RETRY_MS, () => this.enterDraining(engine));
      return;
    }
    this.store.put(KINDS.engines, engine.name, entryOf(engine));
    this.onDraining(engine.id);
    this.clock.setTimer(SERVES_ON_MS, () => this.endDrained(engine));
  }

  private endDrained(engine: SimulatedEngine): void {
    // A life that has begun since has not announced that it leaves.
    if (this.lifeOf(engine.name) !== engine) return;
    engine.crash();
    this.removeEntry(engine);
    this.add(engine.service);
  }

  private removeEntry(engine: SimulatedEngine): void {
    if (this.lifeOf(engine.name) === engine) this.store.remove(KINDS.engines, engine.name);
  }

  private writeEntryAgain(name: string): void {
    const engine = this.lifeOf(name);
    if (!engine) return;
    const entry = entryOf(engine);
    // What changes nothing raises no revision.
    if (!isDeepStrictEqual(this.store.get(KINDS.engines, name)?.spec, entry))
      this.writeEntry(engine);
  }

  /** Writes as long as the life lasts, until the store takes it. */
  private writeEntry(engine: SimulatedEngine): void {
    if (!engine.isRunning) return;
    if (this.store.isDown) {
      this.clock.setTimer(ENTRY_RETRY_MS, () => this.writeEntry(engine));
      return;
    }
    this.store.put(KINDS.engines, engine.name, entryOf(engine));
  }

  private cutOff(address: string, broken: readonly RunningRequest[], forMs: number): void {
    const hanging = this.cuts.get(address) ?? new Set<RunningRequest>();
    for (const request of broken) hanging.add(request);
    this.cuts.set(address, hanging);
    this.clock.setTimer(forMs, () => this.endCut(address));
  }

  /** What hung finds its connection reset. */
  private endCut(address: string): void {
    const hanging = this.cuts.get(address) ?? new Set<RunningRequest>();
    this.cuts.delete(address);
    for (const request of hanging) request.breakOff();
  }
}

function entryOf(engine: SimulatedEngine): StoredEngine {
  const { name, bornMs, service, address, model, isDraining, weightsVersion } = engine;
  return {
    name,
    bornMs,
    service,
    address,
    zone: 'zone-a',
    slots: 8,
    isDraining,
    modelVersions: model ? [[model, weightsVersion]] : [],
  };
}
