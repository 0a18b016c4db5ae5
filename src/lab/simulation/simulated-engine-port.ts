/** The engine port of one simulated host; connects to fake engines over the simulated network. */
import { sleep } from '../../runtime/clock.js';
import type {
  EngineEventBatch,
  EngineFailure,
  EngineGeneration,
  EnginePort,
  EngineSnapshot,
  EngineStream,
  EngineStreamListener,
} from '../../protocol/engine/port.js';
import type { EngineCore } from '../engine/engine-core.js';
import type { EngineSequence } from '../engine/sequence.js';
import { StreamCursor } from '../engine/stream-cursor.js';
import type { HostClock } from './host-clock.js';
import { type RemoteTarget, callRemote } from './remote-call.js';
import { OrderedPipe, type SimulatedNetwork } from './simulated-network.js';
import { hostNameOf } from './simulated-transports.js';

const RESPONSE_TIMEOUT_MS = 2_000;
const EVENT_POLL_INTERVAL_MS = 100;
const CONNECT_TIMEOUT_MS = 2_000;

/** Returns the fake engine on a host. */
export type EngineFinder = (hostName: string) => EngineCore | undefined;

/** One stream between a router and an engine. */
class SimulatedEngineStream implements EngineStream {
  private cursor: StreamCursor | undefined;
  private closed = false;
  private paused = false;

  constructor(
    private readonly network: SimulatedNetwork,
    private readonly localHost: string,
    private readonly host: HostClock,
    private readonly engineHost: string,
    private readonly listener: EngineStreamListener,
  ) {}

  /** Requests a sequence from the engine; `find` runs at the engine. */
  open(core: EngineCore | undefined, find: (core: EngineCore) => OpenResult, offset: number): void {
    if (this.network.isCut(this.localHost, this.engineHost)) {
      const failure = { kind: 'unreachable', reason: 'timeout' } as const;
      this.network.clock.setTimer(CONNECT_TIMEOUT_MS, () => this.fail(failure));
      return;
    }
    this.network.clock.setTimer(this.network.delayMs(), () => {
      if (!core?.isAlive) this.failLater({ kind: 'unreachable', reason: 'refused' });
      else this.begin(core, find(core), offset);
    });
  }

  pause(): void {
    this.paused = true;
    this.cursor?.pause();
  }

  resume(): void {
    this.paused = false;
    this.cursor?.resume();
  }

  cancel(): void {
    const { cursor } = this;
    this.detach();
    this.network.clock.setTimer(this.network.delayMs(), () => {
      if (!this.network.isCut(this.localHost, this.engineHost)) cursor?.cancel();
    });
  }

  detach(): void {
    this.closed = true;
    this.cursor?.detach();
  }

  private begin(core: EngineCore, result: OpenResult, offset: number): void {
    if ('failure' in result) {
      this.failLater(result.failure);
      return;
    }
    // If the router has closed the stream meanwhile, the engine continues without a reader.
    if (this.closed) return;
    const pipe = new OrderedPipe(this.network, this.engineHost, this.localHost, this.host);
    const cursor = new StreamCursor(core, result.sequence, offset, this.remoteListener(pipe));
    this.cursor = cursor;
    if (this.paused) cursor.pause();
    cursor.onProgress();
  }

  private remoteListener(pipe: OrderedPipe): EngineStreamListener {
    const send = (action: () => void): void =>
      pipe.send(() => {
        if (!this.closed) action();
      });
    return {
      onStart: (start) => send(() => this.listener.onStart(start)),
      onTokens: (offset, texts) => send(() => this.listener.onTokens(offset, texts)),
      onEnd: (reason, usage) =>
        send(() => {
          this.closed = true;
          this.listener.onEnd(reason, usage);
        }),
      onFailure: (failure) => this.failLater(failure),
    };
  }

  private failLater(failure: EngineFailure): void {
    this.network.clock.setTimer(this.network.delayMs(), () => this.fail(failure));
  }

  private fail(failure: EngineFailure): void {
    this.host.deliver(() => {
      if (this.closed) return;
      this.closed = true;
      this.listener.onFailure(failure);
    });
  }
}

type OpenResult = { readonly sequence: EngineSequence } | { readonly failure: EngineFailure };

/** Access to the fake engines from one simulated host. */
export class SimulatedEnginePort implements EnginePort {
  constructor(
    private readonly network: SimulatedNetwork,
    private readonly localHost: string,
    private readonly host: HostClock,
    private readonly find: EngineFinder,
  ) {}

  generate(
    address: string,
    generation: EngineGeneration,
    listener: EngineStreamListener,
  ): EngineStream {
    return this.openStream(address, listener, 0, (core) => {
      const result = core.accept(generation);
      if (result.kind === 'accepted') return { sequence: result.sequence };
      return { failure: { kind: 'refused', reason: result.reason } };
    });
  }

  resume(
    address: string,
    engineRequestId: string,
    offset: number,
    listener: EngineStreamListener,
  ): EngineStream {
    return this.openStream(address, listener, offset, (core) => {
      const sequence = core.find(engineRequestId);
      return sequence ? { sequence } : { failure: { kind: 'not-found' } };
    });
  }

  events(address: string, fromSequence: number, waitMs: number): Promise<EngineEventBatch> {
    return this.call(address, waitMs + RESPONSE_TIMEOUT_MS, async (core) => {
      const { clock } = this.network;
      const deadlineMs = clock.now() + waitMs;
      let batch = core.events(fromSequence);
      while (batch.events.length === 0 && clock.now() < deadlineMs && core.isAlive) {
        await sleep(clock, EVENT_POLL_INTERVAL_MS);
        batch = core.events(fromSequence);
      }
      if (!core.isAlive) throw new Error('engine lost');
      return batch;
    });
  }

  snapshot(address: string): Promise<EngineSnapshot> {
    return this.call(address, RESPONSE_TIMEOUT_MS, (core) => core.snapshot());
  }

  private openStream(
    address: string,
    listener: EngineStreamListener,
    offset: number,
    find: (core: EngineCore) => OpenResult,
  ): EngineStream {
    const engineHost = hostNameOf(address);
    const { network, localHost, host } = this;
    const stream = new SimulatedEngineStream(network, localHost, host, engineHost, listener);
    stream.open(this.find(engineHost), find, offset);
    return stream;
  }

  private call<T>(
    address: string,
    timeoutMs: number,
    handle: (core: EngineCore) => Promise<T> | T,
  ): Promise<T> {
    const hostName = hostNameOf(address);
    const core = this.find(hostName);
    const target: RemoteTarget = { hostName, isUp: () => core?.isAlive ?? false };
    return callRemote(this.network, this.localHost, this.host, target, timeoutMs, () => {
      if (!core) throw new Error('engine not found');
      return handle(core);
    });
  }
}
