/** Callers of the soak: they query a directory, reuse open connections and record each response. */
import { Agent } from 'node:http';
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import { sendCall } from './call-sending.js';
import { SHORT_STREAM, type StreamShape, drawLongStream, eventsOf } from './stream-events.js';
import { HOST, callJson } from './wire.js';

/** Kinds of request. */
export type CallKind = 'plain-safe' | 'plain-unsafe' | 'stream-resumable' | 'stream-once';

/** An API key and its tenant. */
export interface CallerKey {
  readonly tenant: string;
  readonly key: string;
}

/** A stream that a caller takes up again. */
export interface ContinuedStream {
  /** Attempt that brought the first event. */
  readonly firstAttempt: string;
  /** Number of the last event received. */
  readonly lastEvent: number;
}

/** One request and its outcome for the caller. Times are wall-clock times. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly key: CallerKey;
  readonly router: string;
  readonly sentMs: number;
  /** Body of the request. Requests with equal bodies count as the same request. */
  readonly sentBody: string;
  /** Part that the prompt shares with others, in addition to the part that all prompts share. */
  readonly sharedPart: string | undefined;
  /** When the last byte of the request was sent; undefined if it was not. */
  bodySentMs: number | undefined;
  /** Time that the caller allows the request, in milliseconds. */
  readonly budgetMs: number;
  /** The stream that it asks for, if it asks for one. */
  readonly shape: StreamShape;
  endedMs: number | undefined;
  status: number | undefined;
  /** Whether the response is complete according to HTTP framing, and no error came before its end. */
  isComplete: boolean;
  /** Whether the response has a length or chunks, which state whether it is complete. */
  isFramed: boolean;
  body: string;
  /** The stream that this attempt continues; undefined for a new request. */
  readonly continued: ContinuedStream | undefined;
  /** Why no complete response was received. */
  failure: string | undefined;
  retryAfterS: number | undefined;
}

/** A response of a directory. */
export interface DirectoryResponse {
  readonly router: string;
  readonly atMs: number;
  readonly addresses: readonly string[];
}

const BUDGET_MS = 3_000;
/** Exceeds the length of each stream. */
export const LONG_BUDGET_MS = 12_000;
/** Share of the streams that are long, of callers that ask for long ones. */
const LONG_STREAM_SHARE = 0.3;
/** How long a response of the directory is cached. */
const DIRECTORY_CACHE_MS = 2_000;
/** Pause before a stream is taken up once more. */
const TAKE_UP_GAP_MS = 150;
const DIRECTORY_TIMEOUT_MS = 1_000;
/** Share of the requests that reuse an open connection. */
const OPEN_CONNECTION_SHARE = 0.6;
export const CALL_KINDS: readonly CallKind[] = [
  'plain-safe',
  'plain-unsafe',
  'stream-resumable',
  'stream-once',
];

/** Path of each kind of request. */
export const CALL_PATHS: Record<CallKind, string> = {
  'plain-safe': '/plain/safe/',
  'plain-unsafe': '/plain/unsafe/',
  'stream-resumable': '/stream/resumable/',
  'stream-once': '/stream/once/',
};

/** What callers do that most don't. */
export interface CallerOptions {
  /** Whether some of its next streams are long; by default none are. */
  readonly asksForLongStreams?: () => boolean;
}

/** A caller that sends one request at a time. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 4, scheduling: 'lifo' });
  private addresses: readonly string[] = [];
  private resolvedAtMs = -Infinity;
  private callCount = 0;

  constructor(
    private readonly name: string,
    private readonly directories: readonly string[],
    private readonly keys: readonly CallerKey[],
    private readonly random: RandomSource,
    private readonly calls: CallRecord[],
    private readonly directoryResponses: DirectoryResponse[],
    private readonly options: CallerOptions = {},
  ) {}

  /**
   * Sends one request; resolves when it has ended.
   *
   * @param repeated what the request has in common with others; by default a new request
   * @param takeUps how often a stream that was broken off is taken up, until it goes on
   */
  async call(repeated?: RepeatedCall, takeUps = 1): Promise<void> {
    const record = await this.attempt(repeated);
    const continued = record && brokenStreamOf(record);
    if (!continued) return;
    const { kind, sentBody: body, sharedPart, shape } = record;
    for (let count = 1; count <= takeUps; count += 1) {
      const next = await this.attempt({ kind, body, sharedPart, shape, continued });
      if (next?.status === 200) return;
      if (count < takeUps) await new Promise((resolve) => setTimeout(resolve, TAKE_UP_GAP_MS));
    }
  }

  /** Sends one attempt; resolves with its record, or undefined without a router to send it to. */
  private async attempt(repeated?: RepeatedCall): Promise<CallRecord | undefined> {
    const address = await this.chooseAddress();
    if (address === undefined) return undefined;
    this.callCount += 1;
    const id = `${this.name}-${this.callCount}`;
    const kind = repeated?.kind ?? randomElement(this.random, CALL_KINDS) ?? 'plain-safe';
    const key = randomElement(this.random, this.keys) as CallerKey;
    const shape = repeated?.shape ?? this.drawShape();
    const budgetMs = shape === SHORT_STREAM ? BUDGET_MS : LONG_BUDGET_MS;
    const record = newRecord({ id, key, router: address, budgetMs }, { ...repeated, kind, shape });
    this.calls.push(record);
    await sendCall(record, { agent: this.agent });
    if (record.failure !== undefined) this.resolvedAtMs = -Infinity;
    return record;
  }

  close(): void {
    this.agent.destroy();
  }

  private drawShape(): StreamShape {
    if (!this.options.asksForLongStreams?.()) return SHORT_STREAM;
    return this.random.next() < LONG_STREAM_SHARE ? drawLongStream(this.random) : SHORT_STREAM;
  }

  /** Open connections stay in use until they close, even if the directory omits their router. */
  private async chooseAddress(): Promise<string | undefined> {
    const open = this.openAddresses();
    if (open.length > 0 && this.random.next() < OPEN_CONNECTION_SHARE) {
      return randomElement(this.random, open);
    }
    if (Date.now() - this.resolvedAtMs > DIRECTORY_CACHE_MS) await this.queryDirectory();
    return randomElement(this.random, this.addresses);
  }

  private openAddresses(): string[] {
    // Names of socket pools start with `host:port:`.
    const pools = Object.entries(this.agent.freeSockets).filter(([, sockets]) => sockets?.length);
    return pools.map(([name]) => name.split(':').slice(0, 2).join(':'));
  }

  /** Queries up to three directories. */
  private async queryDirectory(): Promise<void> {
    const first = randomInteger(this.random, this.directories.length);
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const router = this.directories[(first + attempt) % this.directories.length] as string;
      const path = `/resolve?name=${HOST}&region=region-a&zone=zone-a`;
      try {
        const response = await callJson(router, 'GET', path, undefined, DIRECTORY_TIMEOUT_MS);
        const { addresses } = response.body as { addresses?: string[] };
        if (response.status !== 200 || !addresses) continue;
        this.directoryResponses.push({ router, atMs: Date.now(), addresses });
        this.addresses = addresses;
        this.resolvedAtMs = Date.now();
        return;
      } catch {
        // Try the next directory; if all fail, keep using the addresses received last.
      }
    }
  }
}

/** A call that is like an earlier one. */
export interface RepeatedCall {
  readonly kind: CallKind;
  /** Unique if absent. */
  readonly body?: string;
  readonly sharedPart?: string | undefined;
  /** Drawn if absent. */
  readonly shape?: StreamShape;
  readonly continued?: ContinuedStream;
}

/** The record of a call that is sent now. */
export function newRecord(
  identity: Pick<CallRecord, 'id' | 'key' | 'router' | 'budgetMs'>,
  { kind, body, sharedPart, shape = SHORT_STREAM, continued }: RepeatedCall,
): CallRecord {
  return {
    ...identity,
    kind,
    shape,
    sentMs: Date.now(),
    sentBody: body ?? identity.id,
    sharedPart,
    bodySentMs: undefined,
    endedMs: undefined,
    status: undefined,
    isComplete: false,
    isFramed: true,
    body: '',
    continued,
    failure: undefined,
    retryAfterS: undefined,
  };
}

/** The stream to take up after an attempt that was broken off; undefined if there is none. */
function brokenStreamOf({
  id,
  kind,
  status,
  body,
  failure,
  continued,
}: CallRecord): ContinuedStream | undefined {
  const isBroken = kind === 'stream-resumable' && status === 200 && failure !== undefined;
  const lastEvent = (continued?.lastEvent ?? 0) + (isBroken ? eventsOf(body).length : 0);
  if (!isBroken || lastEvent === 0) return undefined;
  return { firstAttempt: continued?.firstAttempt ?? id, lastEvent };
}
