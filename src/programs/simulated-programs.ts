/** Starts the simulated platform, engines and plain back ends as servers. */
import { BackendCore, BackendStore } from '../lab/backend/backend-core.js';
import { startBackendServer } from '../lab/backend/http-server.js';
import { EngineCore } from '../lab/engine/engine-core.js';
import { startEngineServer } from '../lab/engine/http-server.js';
import { DEFAULT_ENGINE_SETTINGS, type EngineModelSettings } from '../lab/engine/settings.js';
import { createTokenModel } from '../lab/engine/token-model.js';
import type { FakeServer } from '../lab/http-server.js';
import { startPlatformServer } from '../lab/platform/http-server.js';
import { MachineRegistry } from '../lab/platform/machine-registry.js';
import { ObjectStore } from '../lab/platform/object-store.js';
import type { Machine } from '../protocol/machine-list/port.js';
import { SystemClock } from '../runtime/clock.js';
import { createHasher } from '../runtime/hasher.js';
import { SystemRandom } from '../runtime/random.js';
import type { EngineBehaviour } from '../settings/schemas.js';
import { TEMPLATES_OBJECT } from '../coordination/router/platform-reader.js';

/** Identity of a simulated engine. */
export interface EngineIdentity {
  readonly engineId: string;
  readonly model: string;
  readonly weightsDigest: string;
  readonly adapterDigest: string;
}

/** Settings of a simulated engine; unspecified behaviour has its default. */
export function engineSettingsOf(
  identity: EngineIdentity,
  behaviour: EngineBehaviour,
): EngineModelSettings {
  const base = DEFAULT_ENGINE_SETTINGS;
  return {
    ...base,
    ...identity,
    prefillTokensPerSecond: behaviour.prefill_tokens_per_second ?? base.prefillTokensPerSecond,
    prefillChunkTokens: behaviour.prefill_chunk_tokens ?? base.prefillChunkTokens,
    decodeStepMs: behaviour.decode_step_ms ?? base.decodeStepMs,
    maximumRunning: behaviour.maximum_running ?? base.maximumRunning,
    maximumWaiting: behaviour.maximum_waiting ?? base.maximumWaiting,
    cacheBlocks: behaviour.cache_blocks ?? base.cacheBlocks,
    loadLagMs: behaviour.load_lag_ms ?? base.loadLagMs,
    eventDelayMs: behaviour.event_delay_ms ?? base.eventDelayMs,
    eventLossChance: behaviour.event_loss_chance ?? base.eventLossChance,
    streamRetentionMs: behaviour.stream_retention_ms ?? base.streamRetentionMs,
  };
}

/** A running simulated engine. */
export interface RunningEngine {
  readonly core: EngineCore;
  readonly server: FakeServer;
}

/** Starts a simulated engine. Its incarnation is its start time in milliseconds. */
export async function startEngine(
  settings: EngineModelSettings,
  address: string,
): Promise<RunningEngine> {
  const clock = new SystemClock();
  const hasher = await createHasher();
  const model = await createTokenModel();
  const core = new EngineCore(settings, clock, new SystemRandom(), hasher, model, Date.now());
  return { core, server: await startEngineServer(core, clock, address) };
}

/** Starts a simulated back end. Back ends of a service in one process can share a store. */
export function startBackend(
  backendId: string,
  workMs: number,
  maximumRunning: number,
  store: BackendStore,
  address: string,
): Promise<FakeServer> {
  const core = new BackendCore({ backendId, workMs, maximumRunning }, store, new SystemClock());
  return startBackendServer(core, address);
}

/** A running simulated platform. */
export interface RunningPlatform {
  readonly store: ObjectStore;
  readonly machines: MachineRegistry;
  readonly server: FakeServer;
}

/** Starts the simulated platform with an initial configuration and machine list. */
export async function startPlatform(
  address: string,
  machineListLagMs: number,
  templates: unknown,
  machines: readonly Machine[],
): Promise<RunningPlatform> {
  const clock = new SystemClock();
  const store = new ObjectStore(clock);
  const registry = new MachineRegistry(clock, machineListLagMs);
  if (templates !== undefined) {
    store.write(TEMPLATES_OBJECT, JSON.stringify({ configuration: templates }), 0);
  }
  for (const machine of machines) registry.put(machine);
  const server = await startPlatformServer(store, registry, clock, address);
  return { store, machines: registry, server };
}
