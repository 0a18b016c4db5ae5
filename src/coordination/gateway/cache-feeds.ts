/**
 * Follows the cache events of engines and cache stores. Events are delayed and some are lost, so
 * the result is an estimate; an error costs one cache miss.
 */
import { type Clock, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import type { RandomSource } from '../../runtime/random.js';
import type {
  CacheContents,
  CacheEventPage,
  InferencePort,
  IncarnationStart,
} from '../../protocol/inference/port.js';
import type { CachedPrefixes } from '../../state/routing/cached-prefixes.js';

/** An engine or cache store whose events are followed. */
export interface FeedSource {
  /** Identity of the holder in {@link CachedPrefixes}. */
  readonly holder: string;
  /** HOST:PORT. */
  readonly address: string;
}

/** Dependencies of {@link CacheFeeds}. */
export interface FeedParts {
  readonly cachedPrefixes: CachedPrefixes;
  readonly engines: InferencePort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Whether a response that states this start time is of the holder's listed incarnation. */
  isOfHolder(holder: string, startedAtMs: number | undefined): boolean;
}

/** Long-poll time of an event call; shorter calls count as probes. */
const EVENT_WAIT_MS = 1_000;
/** Pause between calls, so that one response carries several events. */
const CALL_PAUSE_MS = 150;
/** After a gap in its events, a holder's complete contents are queried at most this often. */
const MINIMUM_CONTENTS_PERIOD_MS = 6_000;
const FIRST_FAILURE_PAUSE_MS = 300;
const MAXIMUM_FAILURE_PAUSE_MS = 3_000;

/** The cache event feeds of all followed holders. */
export class CacheFeeds {
  private readonly feeds = new Map<string, CacheFeed>();
  private hasFollowed = false;

  constructor(private readonly parts: FeedParts) {}

  /**
   * Replaces the set of followed holders. Holders of the first set may have contents already, so
   * these are queried first; holders added later start empty.
   */
  follow(sources: readonly FeedSource[]): void {
    const mayHaveContents = !this.hasFollowed;
    this.hasFollowed ||= sources.length > 0;
    const wanted = new Map(sources.map((source) => [source.holder, source]));
    for (const [holder, feed] of this.feeds) {
      if (wanted.has(holder)) continue;
      feed.stop();
      this.feeds.delete(holder);
    }
    this.parts.cachedPrefixes.setReportingHolders(new Set(wanted.keys()));
    for (const [holder, source] of wanted) {
      if (this.feeds.has(holder)) continue;
      const feed = new CacheFeed(source, mayHaveContents, this.parts);
      this.feeds.set(holder, feed);
      feed.start();
    }
  }

  stop(): void {
    this.follow([]);
  }
}

/** The feed of one holder. */
class CacheFeed {
  private since = 0;
  private epoch: number | undefined;
  private failures = 0;
  private contentsReadMs = -Infinity;
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
      const pauseMs = await this.poll();
      await sleep(this.parts.clock, pauseMs);
    }
  }

  /** Makes one call; returns the pause before the next, in milliseconds. */
  private async poll(): Promise<number> {
    const { engines } = this.parts;
    try {
      if (this.needsContents) {
        const contents = await engines.cacheContents(this.source.address);
        if (!this.isOfHolder(contents)) return this.pauseAfterFailure();
        if (!this.isStopped) this.applyContents(contents);
        return 0;
      }
      const page = await engines.cacheEvents(this.source.address, this.since, EVENT_WAIT_MS);
      if (!this.isOfHolder(page)) return this.pauseAfterFailure();
      if (!this.isStopped) this.applyPage(page);
      this.failures = 0;
      return CALL_PAUSE_MS;
    } catch {
      return this.pauseAfterFailure();
    }
  }

  private pauseAfterFailure(): number {
    this.failures += 1;
    const pauseMs = FIRST_FAILURE_PAUSE_MS * 2 ** (this.failures - 1);
    return Math.min(MAXIMUM_FAILURE_PAUSE_MS, pauseMs) * (0.5 + this.parts.random.next());
  }

  /** Another incarnation is followed by a feed of its own once it is listed. */
  private isOfHolder({ startedAtMs }: IncarnationStart): boolean {
    return this.parts.isOfHolder(this.source.holder, startedAtMs);
  }

  private applyContents(contents: CacheContents): void {
    const { cachedPrefixes, clock } = this.parts;
    const { holder } = this.source;
    this.needsContents = false;
    this.contentsReadMs = clock.now();
    this.epoch = contents.epoch;
    this.since = contents.next;
    cachedPrefixes.forget(holder);
    for (const { salt, partId, tokens } of contents.held)
      cachedPrefixes.record(holder, salt, partId, tokens);
  }

  private applyPage(page: CacheEventPage): void {
    const { cachedPrefixes, logger, clock } = this.parts;
    const { holder } = this.source;
    const hasRestarted = this.epoch !== undefined && this.epoch !== page.epoch;
    if (hasRestarted) cachedPrefixes.forget(holder);
    if (hasRestarted || (page.hasGap && this.since > 0)) {
      logger.info('cache_feed_gap', { holder, restarted: hasRestarted, since: this.since });
      this.needsContents = clock.now() - this.contentsReadMs >= MINIMUM_CONTENTS_PERIOD_MS;
    }
    this.epoch = page.epoch;
    this.since = page.next;
    for (const { salt, partId, tokens } of page.events)
      cachedPrefixes.record(holder, salt, partId, tokens);
  }
}
