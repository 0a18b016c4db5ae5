/** A router's way to the simulated store: answers take a moment, fail with the store, and are lost with the router. */
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
import type { HeldObject, SimulatedObjectStore } from './simulated-object-store.js';

const LATENCY_MS = 2;
/** A caller notices after this that no answer comes. */
const SILENCE_MS = 1_000;
/** A write whose answer was lost may be done this much later. */
const LATE_WRITE_MS = 1_500;

/**
 * One router's access to the store. Answers reach it only while its process lives; without eras they are those of a
 * store that never goes back.
 */
export class SimulatedStorePort implements ObjectStorePort {
  constructor(
    private readonly store: SimulatedObjectStore,
    private readonly routerName: string,
    private readonly host: HostClock,
    private readonly tellsEras = true,
  ) {}

  list(kind: string): Promise<ObjectList> {
    const delayMs = this.store.listDelaysMs.shift() ?? 0;
    return this.call(
      () => ({
        objects: this.store.all(kind).map((object) => this.shown(object)),
        position: this.position,
      }),
      LATENCY_MS + delayMs,
    );
  }

  read(kind: string, name: string): Promise<ReadResult> {
    return this.call(() => {
      const object = this.store.get(kind, name);
      return { era: this.era, object: object && this.shown(object) };
    });
  }

  watch(kind: string, position: StorePosition, waitMs: number): Promise<WatchResult> {
    this.store.calls += 1;
    if (this.store.isBusy) return this.refusal();
    return new Promise((resolve, reject) => {
      const { store } = this;
      let isOver = false;
      const finish = (action: () => void): void => {
        if (isOver) return;
        isOver = true;
        stopWaiting();
        store.clock.setTimer(LATENCY_MS, () => this.host.deliver(action));
      };
      const check = (isLast: boolean): void => {
        if (this.isSilent) return;
        const isSameEra = position.era === this.era;
        const changes = isSameEra ? store.changesAfter(kind, position.revision) : undefined;
        if (!changes) finish(() => resolve({ kind: 'history-gone' }));
        else if (changes.length > 0 || isLast) {
          const events = changes.map(({ object, isGone }) => ({
            object: this.shown(object),
            isGone,
          }));
          const { position: at } = this;
          finish(() => resolve({ kind: 'events', events, position: at }));
        }
      };
      const stopWaiting = store.onChange(() => check(false));
      store.clock.setTimer(waitMs, () => check(true));
      store.clock.setTimer(waitMs + SILENCE_MS, () => finish(() => reject(noAnswer())));
      store.clock.setTimer(LATENCY_MS, () => check(false));
    });
  }

  create(kind: string, name: string, spec: unknown): Promise<WriteResult> {
    return this.write(() => {
      const present = this.store.get(kind, name);
      return present ? this.conflict(present) : this.put(kind, name, spec);
    });
  }

  /** Only the revision is a condition of the store: in another era it may be another state's. */
  replace(
    kind: string,
    name: string,
    spec: unknown,
    { revision }: StorePosition,
  ): Promise<WriteResult> {
    return this.write(() => {
      const present = this.store.get(kind, name);
      if (!present) return { kind: 'missing', era: this.era };
      return present.revision === revision ? this.put(kind, name, spec) : this.conflict(present);
    });
  }

  remove(kind: string, name: string): Promise<void> {
    return this.call(() => this.store.remove(kind, name));
  }

  private get era(): number {
    return this.tellsEras ? this.store.era : StoreEra.None;
  }

  private get position(): StorePosition {
    return new StorePosition(this.era, this.store.revision);
  }

  /** Whatever its age, an object counts as of the era of the answer that shows it. */
  private shown({ name, revision, spec }: HeldObject): StoredObject {
    return { name, position: new StorePosition(this.era, revision), spec };
  }

  private put(kind: string, name: string, spec: unknown): WriteResult {
    this.store.put(kind, name, spec);
    const object = this.shown(this.store.get(kind, name) as HeldObject);
    return { kind: 'written', era: this.era, object };
  }

  private conflict(present: HeldObject): WriteResult {
    return { kind: 'conflict', era: this.era, present: this.shown(present) };
  }

  private get isSilent(): boolean {
    return this.store.isDown || this.store.unreachableFor.has(this.routerName);
  }

  private write(action: () => WriteResult): Promise<WriteResult> {
    const fault = this.isSilent ? undefined : this.store.writeFaults.shift();
    if (!fault) return this.call(action);
    const delayMs = fault === 'late' ? LATE_WRITE_MS : LATENCY_MS;
    this.store.clock.setTimer(delayMs, action);
    return this.silence();
  }

  /** @param answerMs time that the answer is on its way */
  private call<Result>(action: () => Result, answerMs = LATENCY_MS): Promise<Result> {
    this.store.calls += 1;
    if (this.store.isBusy) return this.refusal();
    return new Promise((resolve, reject) => {
      this.store.clock.setTimer(LATENCY_MS, () => {
        if (this.isSilent) {
          this.silence<Result>().catch(reject);
          return;
        }
        const result = action();
        this.store.clock.setTimer(answerMs, () => this.host.deliver(() => resolve(result)));
      });
    });
  }

  private refusal<Result>(): Promise<Result> {
    return new Promise((_resolve, reject) => {
      const failure = new ProtocolFailure({ kind: 'rejected', status: 503, reason: 'busy' });
      this.store.clock.setTimer(2 * LATENCY_MS, () => this.host.deliver(() => reject(failure)));
    });
  }

  private silence<Result>(): Promise<Result> {
    return new Promise((_resolve, reject) => {
      this.store.clock.setTimer(SILENCE_MS, () => this.host.deliver(() => reject(noAnswer())));
    });
  }
}

function noAnswer(): ProtocolFailure {
  return new ProtocolFailure({ kind: 'interrupted', address: 'store', reason: 'no answer' });
}
