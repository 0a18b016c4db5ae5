/**
 * Reads the cache events and status of the engines that this router owns and sends the changes to
 * the home routers of the prefixes. Two temporary owners are harmless: updates are idempotent.
 */
import { create } from '@bufbuild/protobuf';
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { EngineLoadReport, EnginePort, EngineStatus } from '../../protocol/engine/port.js';
import {
  type DirectoryUpdate,
  DirectoryUpdateSchema,
  PrefixMarkSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { EngineMachine } from '../../state/engine-table.js';
import { EventFeed, type MarkChange } from '../../state/event-feed.js';

/** Long-poll timeout for new events; also the period of load reports. */
const EVENT_WAIT_MS = 250;
/** Pause between two reads, so that events are batched. */
const BATCH_PAUSE_MS = 50;
const FAILURE_PAUSE_MS = 250;
const MARKS_PER_UPDATE = 500;

/** Receives the changes read from the feeds. */
export interface FeedOutput {
  /** Returns the current home router of a root. */
  homeOf(root: bigint): string;
  /** Called when an engine's feed removes the root's mark. */
  forgetRoot(root: bigint): void;
  sendUpdate(home: string, update: DirectoryUpdate): void;
  onStatus(status: EngineStatus): void;
  /** A request to the engine failed. */
  onUnreachable(engineId: string): void;
}

/** Reads the feed of one engine until stopped. */
class FeedReader {
  private feed = new EventFeed();
  private incarnation = 0;
  private nextSequence = 1;
  private isStale = false;
  private load: EngineLoadReport | undefined;
  private stopped = false;
  private homes = new Set<string>();

  constructor(
    private readonly engineId: string,
    private readonly address: string,
    private readonly port: EnginePort,
    private readonly output: FeedOutput,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        await this.readOnce();
        await sleep(this.clock, BATCH_PAUSE_MS);
      } catch {
        if (this.stopped) return;
        this.output.onUnreachable(this.engineId);
        await sleep(this.clock, FAILURE_PAUSE_MS);
      }
    }
  }

  private async readOnce(): Promise<void> {
    const batch = await this.port.events(this.address, this.nextSequence, EVENT_WAIT_MS);
    if (this.stopped) return;
    this.load = batch.status.load;
    if (batch.incarnation !== this.incarnation) {
      this.startIncarnation(batch.incarnation);
    } else if (batch.events.length > 0 && batch.firstSequence !== this.nextSequence) {
      this.logger.info('feed_gap', {
        engine: this.engineId,
        missing: batch.firstSequence - this.nextSequence,
      });
      await this.resynchronize();
    } else {
      this.nextSequence += batch.events.length;
      this.publish(batch.events.map((event) => this.feed.apply(event)));
    }
    this.output.onStatus(batch.status);
  }

  /** Resets the state: a new incarnation starts with an empty cache. */
  private startIncarnation(incarnation: number): void {
    this.feed = new EventFeed();
    this.incarnation = incarnation;
    this.nextSequence = 1;
    this.isStale = false;
    this.homes.clear();
  }

  /** Replaces the state by the engine's snapshot and publishes the differences. */
  private async resynchronize(): Promise<void> {
    this.setStale(true);
    const snapshot = await this.port.snapshot(this.address);
    if (this.stopped || snapshot.incarnation !== this.incarnation) return;
    this.nextSequence = snapshot.nextSequence;
    this.publish(this.feed.replaceBy(snapshot.blocks));
    this.setStale(false);
  }

  private setStale(stale: boolean): void {
    if (this.isStale === stale) return;
    this.isStale = stale;
    for (const home of this.homes) this.send(home, []);
  }

  private publish(changes: readonly (MarkChange | undefined)[]): void {
    this.sendToHomes(changes.filter((change) => change !== undefined));
  }

  /** Sends all cached prefixes below these roots to their new homes. */
  resend(roots: ReadonlySet<bigint>): void {
    this.sendToHomes([...this.feed.marks()].filter(({ root }) => roots.has(root)));
  }

  private sendToHomes(changes: readonly MarkChange[]): void {
    const byHome = new Map<string, MarkChange[]>();
    for (const change of changes) {
      const home = this.output.homeOf(change.root);
      const list = byHome.get(home);
      if (list) list.push(change);
      else byHome.set(home, [change]);
      if (!change.present && change.mark === change.root) this.output.forgetRoot(change.root);
    }
    for (const [home, list] of byHome) {
      this.homes.add(home);
      for (let start = 0; start < list.length; start += MARKS_PER_UPDATE) {
        this.send(home, list.slice(start, start + MARKS_PER_UPDATE));
      }
    }
  }

  private send(home: string, changes: readonly MarkChange[]): void {
    const marks = changes.map((change) => create(PrefixMarkSchema, change));
    const { engineId, isStale: doubted } = this;
    const incarnation = BigInt(this.incarnation);
    // Each update also carries the engine's load.
    const waitingTokens = Math.round(this.load?.waitingTokens ?? 0);
    const requests = this.load?.requests ?? 0;
    const update = { engineId, incarnation, marks, doubted, waitingTokens, requests };
    this.output.sendUpdate(home, create(DirectoryUpdateSchema, update));
  }
}

/** The feed readers of all engines owned by this router. */
export class EngineFeeds {
  private readonly readers = new Map<string, { address: string; reader: FeedReader }>();

  constructor(
    private readonly port: EnginePort,
    private readonly output: FeedOutput,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Starts and stops readers so that exactly these engines are followed. */
  setOwned(machines: readonly EngineMachine[]): void {
    const wanted = new Map(machines.map((machine) => [machine.engineId, machine]));
    for (const [engineId, entry] of this.readers) {
      if (wanted.get(engineId)?.address === entry.address) continue;
      entry.reader.stop();
      this.readers.delete(engineId);
    }
    for (const machine of wanted.values()) this.follow(machine);
  }

  /** Resends the prefixes below roots whose home changed. */
  resend(roots: ReadonlySet<bigint>): void {
    for (const { reader } of this.readers.values()) reader.resend(roots);
  }

  stop(): void {
    this.setOwned([]);
  }

  private follow(machine: EngineMachine): void {
    const { engineId, address } = machine;
    if (this.readers.has(engineId)) return;
    const { port, output, clock, logger } = this;
    const reader = new FeedReader(engineId, address, port, output, clock, logger);
    this.readers.set(engineId, { address, reader });
    void reader.run();
  }
}
