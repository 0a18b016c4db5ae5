/** Object store port of one router that reaches the simulated store, with latency and failures. */
import type {
  ObjectList,
  ObjectStorePort,
  ReadResult,
  StoredObject,
  WatchResult,
  WriteResult,
} from '../../protocol/object-store/port.js';
import { ProtocolFailure } from '../../protocol/errors.js';
import { StoreEra, StorePosition } from '../../runtime/store-position.js';
import type { HostClock } from '../simulation/host-clock.js';
import type {
  SimulatedObject,
  SimulatedObjectStore,
  WriteFault,
} from './simulated-object-store.js';

const LATENCY_MS = 2;
/** Timeout of calls without a response. */
const TIMEOUT_MS = 1_000;
/** Delay of a late write. */
const LATE_WRITE_MS = 1_500;

/**
 * Object store port of one router. Responses arrive only while the router's process runs. Without
 * eras, a restoration of the store is not visible in responses.
 */
export class SimulatedStorePort implements ObjectStorePort {
  constructor(
    private readonly store: SimulatedObjectStore,
    private readonly routerName: string,
    private readonly host: HostClock,
    private readonly reportsEras = true,
  ) {}

  list(kind: string): Promise<ObjectList> {
    const delayMs = this.store.listDelaysMs.shift() ?? 0;
    return this.call(
      () => ({
        objects: this.store.all(kind).map((object) => this.toStoredObject(object)),
        position: this.position,
      }),
      LATENCY_MS + delayMs,
    );
  }

  read(kind: string, name: string): Promise<ReadResult> {
    return this.call(() => {
      const object = this.store.get(kind, name);
      return { era: this.era, object: object && this.toStoredObject(object) };
    });
  }

  watch(kind: string, position: StorePosition, waitMs: number): Promise<WatchResult> {
    this.store.calls += 1;
    if (this.store.isBusy) return this.rejectAsBusy();
    return new Promise((resolve, reject) => {
      const { store } = this;
      let isSettled = false;
      const finish = (action: () => void): void => {
        if (isSettled) return;
        isSettled = true;
        stopWaiting();
        store.clock.setTimer(LATENCY_MS, () => this.host.deliver(action));
      };
      const check = (isLast: boolean): void => {
        if (this.isUnavailable) return;
        const isSameEra = position.era === this.era;
        const changes = isSameEra ? store.changesAfter(kind, position.revision) : undefined;
        if (!changes) finish(() => resolve({ kind: 'history-gone' }));
        else if (changes.length > 0 || isLast) {
          const events = changes.map(({ object, isGone }) => ({
            object: this.toStoredObject(object),
            isGone,
          }));
          const { position: at } = this;
          finish(() => resolve({ kind: 'events', events, position: at }));
        }
      };
      const stopWaiting = store.onChange(() => check(false));
      store.clock.setTimer(waitMs, () => check(true));
      store.clock.setTimer(waitMs + TIMEOUT_MS, () => finish(() => reject(noResponse())));
      store.clock.setTimer(LATENCY_MS, () => check(false));
    });
  }

  create(kind: string, name: string, spec: unknown): Promise<WriteResult> {
    return this.writeWithFaults(kind, () => {
      const present = this.store.get(kind, name);
      return present ? this.conflict(present) : this.put(kind, name, spec);
    });
  }

  /** The store checks only the revision, which a later era may have assigned to another state. */
  replace(
    kind: string,
    name: string,
    spec: unknown,
    { revision }: StorePosition,
  ): Promise<WriteResult> {
    return this.writeWithFaults(kind, () => {
      const present = this.store.get(kind, name);
      if (!present) return { kind: 'missing', era: this.era };
      return present.revision === revision ? this.put(kind, name, spec) : this.conflict(present);
    });
  }

  remove(kind: string, name: string): Promise<void> {
    return this.call(() => this.store.remove(kind, name));
  }

  private get era(): number {
    return this.reportsEras ? this.store.era : StoreEra.None;
  }

  private get position(): StorePosition {
    return new StorePosition(this.era, this.store.revision);
  }

  /** Converts an object. Its position has the era of the response, regardless of its age. */
  private toStoredObject({ name, revision, spec }: SimulatedObject): StoredObject {
    return { name, position: new StorePosition(this.era, revision), spec };
  }

  private put(kind: string, name: string, spec: unknown): WriteResult {
    this.store.put(kind, name, spec);
    const object = this.toStoredObject(this.store.get(kind, name) as SimulatedObject);
    return { kind: 'written', era: this.era, object };
  }

  private conflict(present: SimulatedObject): WriteResult {
    return { kind: 'conflict', era: this.era, present: this.toStoredObject(present) };
  }

  private get isUnavailable(): boolean {
    return this.store.isDown || this.store.unreachableFor.has(this.routerName);
  }

  private writeWithFaults(kind: string, action: () => WriteResult): Promise<WriteResult> {
    if (this.store.refusesWrites) return this.rejectAsBusy();
    const fault = this.isUnavailable ? undefined : this.nextFault(kind);
    if (!fault) return this.call(action);
    const delayMs = fault === 'late' ? LATE_WRITE_MS : LATENCY_MS;
    this.store.clock.setTimer(delayMs, action);
    return this.timeOut();
  }

  private nextFault(kind: string): WriteFault | undefined {
    const own = this.store.kindWriteFaults.get(kind);
    return own && own.length > 0 ? own.shift() : this.store.writeFaults.shift();
  }

  /** @param responseDelayMs one-way delay of the response */
  private call<Result>(action: () => Result, responseDelayMs = LATENCY_MS): Promise<Result> {
    this.store.calls += 1;
    if (this.store.isBusy) return this.rejectAsBusy();
    return new Promise((resolve, reject) => {
      this.store.clock.setTimer(LATENCY_MS, () => {
        if (this.isUnavailable) {
          this.timeOut<Result>().catch(reject);
          return;
        }
        const result = action();
        this.store.clock.setTimer(responseDelayMs, () => this.host.deliver(() => resolve(result)));
      });
    });
  }

  private rejectAsBusy<Result>(): Promise<Result> {
    return new Promise((_resolve, reject) => {
      const failure = new ProtocolFailure({ kind: 'rejected', status: 503, reason: 'busy' });
      this.store.clock.setTimer(2 * LATENCY_MS, () => this.host.deliver(() => reject(failure)));
    });
  }

  private timeOut<Result>(): Promise<Result> {
    return new Promise((_resolve, reject) => {
      this.store.clock.setTimer(TIMEOUT_MS, () => this.host.deliver(() => reject(noResponse())));
    });
  }
}

function noResponse(): ProtocolFailure {
  return new ProtocolFailure({ kind: 'interrupted', address: 'store', reason: 'no response' });
}
