/**
 * Follows what engines and cache stores say they keep. Events are late and some are lost, so what is
 * learned is a belief: a wrong one costs a fetch that finds nothing.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type {
  CacheContents,
  CacheEventPage,
  InferencePort,
  StatedLife,
} from '../../protocol/inference/port.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';

/** An engine or cache store whose events are followed. */
export interface FeedSource {
  /** Identity of the holder in {@link CachedPrefixes}. */
  readonly holder: string;
  /** HOST:PORT. */
  readonly address: string;
}

/** What the feeds work with. */
export interface FeedParts {
  readonly kept: CachedPrefixes;
  readonly engines: InferencePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Whether an answer that states this start is of the holder, and not of another life of it. */
  isOfHolder(holder: string, bornMs: number | undefined): boolean;
}

/** A call is held this long; shorter ones would be paid as probes. */
const WAIT_MS = 1_000;
/** Between calls, so that several events come with one answer. */
const PAUSE_MS = 150;
/** After a gap a holder is asked for all it keeps, but not more often than this. */
const CONTENTS_PERIOD_MS = 6_000;
const FIRST_FAILURE_PAUSE_MS = 300;
const LONGEST_FAILURE_PAUSE_MS = 3_000;

/** The feeds of all holders. */
export class CacheFeeds {
  private readonly feeds = new Map<string, CacheFeed>();
  private hasFollowed = false;

  constructor(private readonly parts: FeedParts) {}

  /**
   * Follows just these from now on. Holders that were there before this router are asked for all they
   * keep first; new ones keep nothing yet.
   */
  follow(sources: readonly FeedSource[]): void {
    const mayKeepMuch = !this.hasFollowed;
    this.hasFollowed ||= sources.length > 0;
    const wanted = new Map(sources.map((source) => [source.holder, source]));
    for (const [holder, feed] of this.feeds) {
      if (wanted.has(holder)) continue;
      feed.stop();
      this.feeds.delete(holder);
    }
    this.parts.kept.setReported(new Set(wanted.keys()));
    for (const [holder, source] of wanted) {
      if (this.feeds.has(holder)) continue;
      const feed = new CacheFeed(source, mayKeepMuch, this.parts);
      this.feeds.set(holder, feed);
      feed.start();
    }
  }

  stop(): void {
    this.follow([]);
  }
}

class CacheFeed {
  private since = 0;
  private epoch: number | undefined;
  private failures = 0;
  private contentsMs = -Infinity;
  private isStopped = false;

  constructor(
    private readonly source: FeedSource,
    private needsContents: boolean,
    private readonly parts: FeedParts,
  ) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const pauseMs = await this.step();
      await sleep(this.parts.clock, pauseMs);
    }
  }

  /** One call; answers the pause before the next. */
  private async step(): Promise<number> {
    const { engines } = this.parts;
    try {
      if (this.needsContents) {
        const contents = await engines.cacheContents(this.source.address);
        if (!this.isOfHolder(contents)) return this.pauseAfterFailure();
        if (!this.isStopped) this.takeContents(contents);
        return 0;
      }
      const page = await engines.cacheEvents(this.source.address, this.since, WAIT_MS);
      if (!this.isOfHolder(page)) return this.pauseAfterFailure();
      if (!this.isStopped) this.take(page);
      this.failures = 0;
      return PAUSE_MS;
    } catch {
      return this.pauseAfterFailure();
    }
  }

  private pauseAfterFailure(): number {
    this.failures += 1;
    const pauseMs = FIRST_FAILURE_PAUSE_MS * 2 ** (this.failures - 1);
    return Math.min(LONGEST_FAILURE_PAUSE_MS, pauseMs) * (0.5 + this.parts.random.next());
  }

  /** A later life is followed from its own beginning, as soon as it is listed. */
  private isOfHolder({ bornMs }: StatedLife): boolean {
    return this.parts.isOfHolder(this.source.holder, bornMs);
  }

  private takeContents(contents: CacheContents): void {
    const { kept, clock } = this.parts;
    const { holder } = this.source;
    this.needsContents = false;
    this.contentsMs = clock.now();
    this.epoch = contents.epoch;
    this.since = contents.next;
    kept.forget(holder);
    for (const { salt, partId, tokens } of contents.held) kept.note(holder, salt, partId, tokens);
  }

  private take(page: CacheEventPage): void {
    const { kept, logger, clock } = this.parts;
    const { holder } = this.source;
    const hasRestarted = this.epoch !== undefined && this.epoch !== page.epoch;
    if (hasRestarted) kept.forget(holder);
    if (hasRestarted || (page.hasGap && this.since > 0)) {
      logger.info('cache_feed_gap', { holder, restarted: hasRestarted, since: this.since });
      this.needsContents = clock.now() - this.contentsMs >= CONTENTS_PERIOD_MS;
    }
    this.epoch = page.epoch;
    this.since = page.next;
    for (const { salt, partId, tokens } of page.events) kept.note(holder, salt, partId, tokens);
  }
}
