/** The stand-in of the platform's object API: versions, compare-and-swap, watches, and outages. */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { StoredObject } from '../../protocol/object-api/port.js';

/** How the store misbehaves; changed while it runs. */
export interface ObjectStoreFaults {
  /** No call is answered. */
  down: boolean;
  /** Added to each call. */
  delayMs: number;
  /** The next writes take effect and their answers are lost. */
  loseWriteAnswers: number;
  /** The next watches are answered from a replica that lags by one version. */
  staleWatches: number;
}

/** Result of a write. */
export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly presentVersion: number };

interface Watcher {
  readonly name: string;
  readonly afterVersion: number;
  readonly resolve: (object: StoredObject | undefined) => void;
  readonly timer: Timer;
}

/** Objects in memory. */
export class ObjectStore {
  readonly faults: ObjectStoreFaults = {
    down: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    staleWatches: 0,
  };
  private readonly objects = new Map<string, StoredObject>();
  private readonly previous = new Map<string, StoredObject>();
  private readonly watchers = new Set<Watcher>();
  /** Calls by kind, for measurements. */
  readonly calls = { reads: 0, writes: 0, watches: 0 };

  constructor(private readonly clock: Clock) {}

  get openWatches(): number {
    return this.watchers.size;
  }

  read(name: string): StoredObject | undefined {
    this.calls.reads += 1;
    return this.objects.get(name);
  }

  write(name: string, content: string, expectedVersion: number): WriteResult {
    this.calls.writes += 1;
    const presentVersion = this.objects.get(name)?.version ?? 0;
    if (presentVersion !== expectedVersion) return { kind: 'conflict', presentVersion };
    const object = { version: presentVersion + 1, content };
    const before = this.objects.get(name);
    if (before) this.previous.set(name, before);
    this.objects.set(name, object);
    this.wake(name, object);
    return { kind: 'written', version: object.version };
  }

  /** Resolves with a version above `afterVersion`, or undefined after `waitMs`. */
  watch(name: string, afterVersion: number, waitMs: number): Promise<StoredObject | undefined> {
    this.calls.watches += 1;
    const present = this.objects.get(name);
    const stale = this.previous.get(name);
    if (stale && this.faults.staleWatches > 0) {
      this.faults.staleWatches -= 1;
      return Promise.resolve(stale);
    }
    if (present && present.version > afterVersion) return Promise.resolve(present);
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(waitMs, () => {
        this.watchers.delete(watcher);
        resolve(undefined);
      });
      const watcher: Watcher = { name, afterVersion, resolve, timer };
      this.watchers.add(watcher);
    });
  }

  private wake(name: string, object: StoredObject): void {
    for (const watcher of [...this.watchers]) {
      if (watcher.name !== name || object.version <= watcher.afterVersion) continue;
      this.watchers.delete(watcher);
      watcher.timer.cancel();
      watcher.resolve(object);
    }
  }
}
