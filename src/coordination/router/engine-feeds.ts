/**
 * Follows the cache events and status of the engines this router owns, and tells the homes of the
 * prefixes what changed. Two owners for a moment are harmless: homes take the same news twice.
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

/** Longest wait at the engine for new events; also the period of load reports. */
const EVENT_WAIT_MS = 250;
/** Pause between two reads, in which events gather. */
const BATCH_PAUSE_MS = 50;
const FAILURE_PAUSE_MS = 250;
const MARKS_PER_UPDATE = 500;

/** Where a feed's news go. */
export interface FeedOutput {
  /** Home of a root now. */
  homeOf(root: bigint): string;
  /** No engine followed here keeps the root any more, as far as one feed tells. */
  forgetRoot(root: bigint): void;
  sendUpdate(home: string, update: DirectoryUpdate): void;
  onStatus(status: EngineStatus): void;
  /** The engine did not answer. */
  onUnreachable(engineId: string): void;
}

/** Follows one engine until stopped. */
class FeedReader {
  private feed = new EventFeed();
  private incarnation = 0;
  private nextSequence = 1;
  private doubted = false;
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
      this.begin(batch.incarnation);
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

  /** A new incarnation keeps nothing of the one before. */
  private begin(incarnation: number): void {
    this.feed = new EventFeed();
    this.incarnation = incarnation;
    this.nextSequence = 1;
    this.doubted = false;
    this.homes.clear();
  }

  /** Replaces what is known by the engine's snapshot and tells the difference. */
  private async resynchronize(): Promise<void> {
    this.doubt(true);
    const snapshot = await this.port.snapshot(this.address);
    if (this.stopped || snapshot.incarnation !== this.incarnation) return;
    this.nextSequence = snapshot.nextSequence;
    this.publish(this.feed.replaceBy(snapshot.blocks));
    this.doubt(false);
  }

  private doubt(doubted: boolean): void {
    if (this.doubted === doubted) return;
    this.doubted = doubted;
    for (const home of this.homes) this.send(home, []);
  }

  private publish(changes: readonly (MarkChange | undefined)[]): void {
    this.distribute(changes.filter((change) => change !== undefined));
  }

  /** Tells the new homes of these roots all that is kept below them. */
  resend(roots: ReadonlySet<bigint>): void {
    this.distribute([...this.feed.marks()].filter(({ root }) => roots.has(root)));
  }

  private distribute(changes: readonly MarkChange[]): void {
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
    const { engineId, doubted } = this;
    const incarnation = BigInt(this.incarnation);
    // The load rides along: homes hear of it as often as of the engine's prefixes.
    const waitingTokens = Math.round(this.load?.waitingTokens ?? 0);
    const requests = this.load?.requests ?? 0;
    const update = { engineId, incarnation, marks, doubted, waitingTokens, requests };
    this.output.sendUpdate(home, create(DirectoryUpdateSchema, update));
  }
}

/** The feeds of all engines owned by this router. */
export class EngineFeeds {
  private readonly readers = new Map<string, { address: string; reader: FeedReader }>();

  constructor(
    private readonly port: EnginePort,
    private readonly output: FeedOutput,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Follows exactly these engines from now on. */
  setOwned(machines: readonly EngineMachine[]): void {
    const wanted = new Map(machines.map((machine) => [machine.engineId, machine]));
    for (const [engineId, entry] of this.readers) {
      if (wanted.get(engineId)?.address === entry.address) continue;
      entry.reader.stop();
      this.readers.delete(engineId);
    }
    for (const machine of wanted.values()) this.follow(machine);
  }

  /** Homes of these roots moved. */
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
