/** A fake object store of the platform with compare-and-swap, watches and injected faults. */
import type { Clock, Timer } from '../../runtime/clock.js';
import type { StoredObject } from '../../protocol/object-api/port.js';

/** Injected faults, which may change while the store runs. */
export interface ObjectStoreFaults {
  /** No call gets a response. */
  down: boolean;
  /** Latency added to each call. */
  delayMs: number;
  /** Number of next writes that take effect but whose responses are lost. */
  loseWriteResponses: number;
  /** Number of next watches that return the previous version, as a lagging replica would. */
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

/** In-memory object store. */
export class ObjectStore {
  readonly faults: ObjectStoreFaults = {
    down: false,
    delayMs: 0,
    loseWriteResponses: 0,
    staleWatches: 0,
  };
  private readonly objects = new Map<string, StoredObject>();
  private readonly previousVersions = new Map<string, StoredObject>();
  private readonly watchers = new Set<Watcher>();
  /** Number of calls by kind. */
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
    const previousObject = this.objects.get(name);
    if (previousObject) this.previousVersions.set(name, previousObject);
    this.objects.set(name, object);
    this.notifyWatchers(name, object);
    return { kind: 'written', version: object.version };
  }

  /** Resolves with a version newer than `afterVersion`, or with undefined after `waitMs`. */
  watch(name: string, afterVersion: number, waitMs: number): Promise<StoredObject | undefined> {
    this.calls.watches += 1;
    const current = this.objects.get(name);
    const staleObject = this.previousVersions.get(name);
    if (staleObject && this.faults.staleWatches > 0) {
      this.faults.staleWatches -= 1;
      return Promise.resolve(staleObject);
    }
    if (current && current.version > afterVersion) return Promise.resolve(current);
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(waitMs, () => {
        this.watchers.delete(watcher);
        resolve(undefined);
      });
      const watcher: Watcher = { name, afterVersion, resolve, timer };
      this.watchers.add(watcher);
    });
  }

  private notifyWatchers(name: string, object: StoredObject): void {
    for (const watcher of [...this.watchers]) {
      if (watcher.name !== name || object.version <= watcher.afterVersion) continue;
      this.watchers.delete(watcher);
      watcher.timer.cancel();
      watcher.resolve(object);
    }
  }
}
