/** Access to the object API, the machine list and plain backends from one simulated host. */
import { ProtocolFailure, toProtocolError } from '../../protocol/errors.js';
import type { MachineList, MachineListPort } from '../../protocol/machine-list/port.js';
import type { ObjectApiPort, StoredObject } from '../../protocol/object-api/port.js';
import type {
  BackendInvocation,
  InvocationResult,
  LookupResult,
  PlainBackendPort,
} from '../../protocol/plain-backend/port.js';
import { sleep } from '../../runtime/clock.js';
import type { BackendCore } from '../backend/backend-core.js';
import type { MachineRegistry } from '../platform/machine-registry.js';
import type { ObjectStore } from '../platform/object-store.js';
import type { HostClock } from './host-clock.js';
import { type RemoteTarget, callRemote } from './remote-call.js';
import type { SimulatedNetwork } from './simulated-network.js';
import { hostNameOf } from './simulated-transports.js';

const PLATFORM_HOST = 'platform';
const RESPONSE_TIMEOUT_MS = 2_000;
const LOOKUP_TIMEOUT_MS = 1_000;

/** The object API over the simulated network. */
export class SimulatedObjectApi implements ObjectApiPort {
  constructor(
    private readonly network: SimulatedNetwork,
    private readonly localHost: string,
    private readonly host: HostClock,
    private readonly store: ObjectStore,
  ) {}

  read(name: string): Promise<StoredObject | undefined> {
    return this.call(RESPONSE_TIMEOUT_MS, () => this.store.read(name));
  }

  write(name: string, content: string, expectedVersion: number): Promise<number> {
    return this.call(RESPONSE_TIMEOUT_MS, () => {
      const result = this.store.write(name, content, expectedVersion);
      if (this.store.faults.loseWriteResponses > 0) {
        this.store.faults.loseWriteResponses -= 1;
        throw new Error('response lost');
      }
      if (result.kind === 'written') return result.version;
      const { presentVersion } = result;
      throw new ProtocolFailure({ kind: 'conflict', presentVersion });
    });
  }

  watch(name: string, afterVersion: number, waitMs: number): Promise<StoredObject | undefined> {
    return this.call(waitMs + RESPONSE_TIMEOUT_MS, () =>
      this.store.watch(name, afterVersion, waitMs),
    );
  }

  private call<T>(timeoutMs: number, handle: () => Promise<T> | T): Promise<T> {
    const target = { hostName: PLATFORM_HOST, isUp: () => !this.store.faults.down };
    return callRemote(this.network, this.localHost, this.host, target, timeoutMs, async () => {
      await sleep(this.network.clock, this.store.faults.delayMs);
      const result = await handle();
      if (this.store.faults.down) throw new Error('platform went down');
      return result;
    });
  }
}

/** The machine list over the simulated network. */
export class SimulatedMachineList implements MachineListPort {
  constructor(
    private readonly network: SimulatedNetwork,
    private readonly localHost: string,
    private readonly host: HostClock,
    private readonly registry: MachineRegistry,
    private readonly store: ObjectStore,
  ) {}

  watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined> {
    const target = { hostName: PLATFORM_HOST, isUp: () => !this.store.faults.down };
    const timeoutMs = waitMs + RESPONSE_TIMEOUT_MS;
    return callRemote(this.network, this.localHost, this.host, target, timeoutMs, () =>
      this.registry.watch(afterVersion, waitMs),
    );
  }
}

/** Plain backends over the simulated network. */
export class SimulatedBackendPort implements PlainBackendPort {
  constructor(
    private readonly network: SimulatedNetwork,
    private readonly localHost: string,
    private readonly host: HostClock,
    private readonly find: (hostName: string) => BackendCore | undefined,
  ) {}

  async invoke(address: string, invocation: BackendInvocation): Promise<InvocationResult> {
    try {
      return await this.call(address, invocation.timeoutMs, async (core) => {
        const result = await core.run(invocation);
        if (result.kind === 'lost') throw new Error('backend lost');
        return result;
      });
    } catch (error) {
      const cause = toProtocolError(error, address);
      const kind = cause.kind === 'unreachable' ? 'unreachable' : 'interrupted';
      return { kind, reason: 'simulated' };
    }
  }

  async lookup(address: string, requestId: string): Promise<LookupResult> {
    try {
      return await this.call(address, LOOKUP_TIMEOUT_MS, (core) => core.lookup(requestId));
    } catch {
      return { kind: 'unavailable' };
    }
  }

  private call<T>(
    address: string,
    timeoutMs: number,
    handle: (core: BackendCore) => Promise<T> | T,
  ): Promise<T> {
    const hostName = hostNameOf(address);
    const core = this.find(hostName);
    const target: RemoteTarget = { hostName, isUp: () => core?.isAlive ?? false };
    return callRemote(this.network, this.localHost, this.host, target, timeoutMs, () => {
      if (!core) throw new Error('backend not found');
      return handle(core);
    });
  }
}
