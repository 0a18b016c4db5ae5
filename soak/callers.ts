/** Callers of the soak: they ask a directory, keep connections until these end, and note what they saw. */
import { Agent, type IncomingMessage, request as httpRequest } from 'node:http';
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import { parseAddress } from '../src/transport/address.js';
import { STREAM_EVENTS } from './stream-events.js';
import { HOST, MODEL, WireHeader, callJson } from './wire.js';

/** Kinds of request. */
export type CallKind = 'plain-safe' | 'plain-unsafe' | 'stream-resumable' | 'stream-once';

/** A tenant's key and whether it may be taken away. */
export interface CallerKey {
  readonly tenant: string;
  readonly key: string;
}

/** One request and what its caller saw. Moments are of the wall clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly key: CallerKey;
  readonly router: string;
  readonly sentMs: number;
  /** Body of the request; the same one makes it the same request under another identifier. */
  readonly sentBody: string;
  endedMs: number | undefined;
  status: number | undefined;
  /** Whether the answer was whole by the protocol. */
  isWhole: boolean;
  body: string;
  /** Why the connection ended, where no whole answer came. */
  failure: string | undefined;
  retryAfterS: number | undefined;
}

/** An answer of a directory. */
export interface DirectoryRecord {
  readonly router: string;
  readonly atMs: number;
  readonly addresses: readonly string[];
}

const DEADLINE_MS = 3_000;
/** An answer of the directory is kept this long. */
const ANSWER_LIFETIME_MS = 2_000;
const DIRECTORY_TIMEOUT_MS = 1_000;
/** Share of the requests that go to a router to which a connection is open. */
const OPEN_CONNECTION_SHARE = 0.6;
/** All kinds of request. */
export const KINDS: readonly CallKind[] = [
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

/** One caller. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 4, scheduling: 'lifo' });
  private addresses: readonly string[] = [];
  private askedMs = -Infinity;
  private count = 0;

  constructor(
    private readonly name: string,
    private readonly directories: readonly string[],
    private readonly keys: readonly CallerKey[],
    private readonly random: RandomSource,
    private readonly calls: CallRecord[],
    private readonly answers: DirectoryRecord[],
  ) {}

  /**
   * Sends one request and resolves when it has ended.
   *
   * @param fixed kind and body of a request that comes again; left out: one of its own
   */
  async call(fixed?: { readonly kind: CallKind; readonly body: string }): Promise<void> {
    const address = await this.chooseAddress();
    if (address === undefined) return;
    this.count += 1;
    const id = `${this.name}-${this.count}`;
    const record: CallRecord = {
      id,
      kind: fixed?.kind ?? randomElement(this.random, KINDS) ?? 'plain-safe',
      key: randomElement(this.random, this.keys) as CallerKey,
      router: address,
      sentMs: Date.now(),
      sentBody: fixed?.body ?? id,
      endedMs: undefined,
      status: undefined,
      isWhole: false,
      body: '',
      failure: undefined,
      retryAfterS: undefined,
    };
    this.calls.push(record);
    await this.send(record);
    record.endedMs = Date.now();
    if (record.failure !== undefined) this.askedMs = -Infinity;
  }

  close(): void {
    this.agent.destroy();
  }

  /** An open connection is used on until it ends, whatever the directory says meanwhile. */
  private async chooseAddress(): Promise<string | undefined> {
    const open = this.openAddresses();
    if (open.length > 0 && this.random.next() < OPEN_CONNECTION_SHARE) {
      return randomElement(this.random, open);
    }
    if (Date.now() - this.askedMs > ANSWER_LIFETIME_MS) await this.askDirectory();
    return randomElement(this.random, this.addresses);
  }

  private openAddresses(): string[] {
    // Names of pools are `host:port:` and more.
    const pools = Object.entries(this.agent.freeSockets).filter(([, sockets]) => sockets?.length);
    return pools.map(([name]) => name.split(':').slice(0, 2).join(':'));
  }

  /** Asks up to three directories, as the users' callers do. */
  private async askDirectory(): Promise<void> {
    const first = randomInteger(this.random, this.directories.length);
    for (let turn = 0; turn < 3; turn += 1) {
      const router = this.directories[(first + turn) % this.directories.length] as string;
      const path = `/resolve?name=${HOST}&region=region-a&zone=zone-a`;
      try {
        const answer = await callJson(router, 'GET', path, undefined, DIRECTORY_TIMEOUT_MS);
        const { addresses } = answer.body as { addresses?: string[] };
        if (answer.status !== 200 || !addresses) continue;
        this.answers.push({ router, atMs: Date.now(), addresses });
        this.addresses = addresses;
        this.askedMs = Date.now();
        return;
      } catch {
        // This directory does not answer; the next is asked, then the old answer is used on.
      }
    }
  }

  private send(record: CallRecord): Promise<void> {
    const { host, port } = parseAddress(record.router);
    const headers = this.headersOf(record);
    const path = `${CALL_PATHS[record.kind]}x`;
    return new Promise((resolve) => {
      const request = httpRequest({
        host,
        port,
        path,
        method: 'POST',
        agent: this.agent,
        headers,
        timeout: DEADLINE_MS,
      });
      const fail = (reason: string): void => {
        record.failure ??= reason;
        request.destroy();
        resolve();
      };
      const timer = setTimeout(() => fail('deadline'), DEADLINE_MS);
      request.on('close', () => clearTimeout(timer));
      request.on('error', (error) => fail(error.message));
      request.on('response', (response) => readAnswer(response, record, fail, resolve));
      request.end(record.sentBody);
    });
  }

  private headersOf({ id, kind, key }: CallRecord): Record<string, string> {
    const generation = {
      [WireHeader.model]: MODEL,
      [WireHeader.tokenUsage]: `900,${STREAM_EVENTS}`,
      [WireHeader.promptPrefix]: `aa:800,${id.replaceAll('-', '')}:100`,
    };
    return {
      Host: HOST,
      [WireHeader.attemptId]: id,
      [WireHeader.apiKey]: key.key,
      [WireHeader.budgetMs]: String(DEADLINE_MS),
      ...(kind.startsWith('stream') ? generation : {}),
    };
  }
}

function readAnswer(
  response: IncomingMessage,
  record: CallRecord,
  fail: (reason: string) => void,
  onEnd: () => void,
): void {
  record.status = response.statusCode;
  const retryAfter = response.headers['retry-after'];
  record.retryAfterS = retryAfter === undefined ? undefined : Number(retryAfter);
  response.on('data', (chunk: Buffer) => (record.body += chunk.toString('utf8')));
  response.on('error', (error) => fail(error.message));
  response.on('end', () => {
    record.isWhole = response.complete;
    if (response.complete) onEnd();
    else fail('incomplete');
  });
}
