/** The fake services of a simulated deployment: platform, engines, plain backends. */
import type { Machine } from '../../protocol/machine-list/port.js';
import type { Clock } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { RandomSource } from '../../runtime/random.js';
import { BackendCore, BackendStore } from '../backend/backend-core.js';
import { EngineCore } from '../engine/engine-core.js';
import type { EngineModelSettings } from '../engine/settings.js';
import type { TokenModel } from '../engine/token-model.js';
import { MachineRegistry } from '../platform/machine-registry.js';
import { ObjectStore } from '../platform/object-store.js';

/** Port of every simulated process. */
export const SIMULATED_PORT = 1;

/** A zone and its data centre. */
export interface SimulatedLocation {
  readonly zone: string;
  readonly site: string;
}

/** All fake services, by host name; the host name is also the identifier. */
export class FakeFleet {
  readonly store: ObjectStore;
  readonly machines: MachineRegistry;
  readonly engines: EngineCore[] = [];
  readonly backends: BackendCore[] = [];
  readonly backendStore = new BackendStore();
  private readonly enginesById = new Map<string, EngineCore>();

  constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly hasher: Hasher,
    readonly tokenModel: TokenModel,
    machineListLagMs: number,
  ) {
    this.store = new ObjectStore(clock);
    this.machines = new MachineRegistry(clock, machineListLagMs);
  }

  /** Adds an engine and puts it on the machine list. */
  addEngine(settings: EngineModelSettings, place: SimulatedLocation): EngineCore {
    const { clock, random, hasher, tokenModel } = this;
    const core = new EngineCore(settings, clock, random, hasher, tokenModel, 1);
    this.engines.push(core);
    this.enginesById.set(settings.engineId, core);
    this.machines.put(machineOf(settings.engineId, 'engine', place, []));
    return core;
  }

  /** Adds a plain backend and puts it on the machine list. */
  addBackend(
    backendId: string,
    workMs: number,
    services: readonly string[],
    place: SimulatedLocation,
  ): void {
    const MAXIMUM_RUNNING = 16;
    const settings = { backendId, workMs, maximumRunning: MAXIMUM_RUNNING };
    this.backends.push(new BackendCore(settings, this.backendStore, this.clock));
    this.machines.put(machineOf(backendId, 'backend', place, services));
  }

  /** Puts an engine on the machine list without creating a fake for it; used by scale runs. */
  addSyntheticEngine(engineId: string, place: SimulatedLocation): void {
    this.machines.put(machineOf(engineId, 'engine', place, []));
  }

  findEngine(engineId: string): EngineCore | undefined {
    return this.enginesById.get(engineId);
  }

  findBackend(backendId: string): BackendCore | undefined {
    return this.backends.find((core) => core.settings.backendId === backendId);
  }
}

function machineOf(
  id: string,
  kind: Machine['kind'],
  place: SimulatedLocation,
  services: readonly string[],
): Machine {
  return { id, kind, address: `${id}:${SIMULATED_PORT}`, ...place, services, leaving: false };
}
