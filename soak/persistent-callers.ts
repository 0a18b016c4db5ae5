/**
 * Callers that keep sending to one router until its process has ended, whatever the directory lists: on
 * connections that were opened before, and on new ones.
 */
import { type Socket, connect } from 'node:net';
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import { parseAddress } from '../src/transport/address.js';
import { sendCall } from './call-sending.js';
import {
  type CallKind,
  type CallRecord,
  type CallerKey,
  LONG_BUDGET_MS,
  newRecord,
} from './callers.js';
import type { RouterProcess } from './router-process.js';
import { SHORT_STREAM, drawLongStream } from './stream-events.js';

/** Mostly streams. */
const KINDS: readonly CallKind[] = [
  'stream-once',
  'stream-resumable',
  'stream-once',
  'stream-resumable',
  'plain-unsafe',
  'plain-safe',
];
const BUDGETS_MS = [5_000, LONG_BUDGET_MS, LONG_BUDGET_MS] as const;
const LONG_STREAM_SHARE = 0.7;
/** Time between two requests on new connections; a third of the time beside the end of acceptance. */
const NEW_CONNECTION_GAP_MS = 90;
/** Connections that are opened early and used late. */
const EARLY_CONNECTIONS = 60;
/** Time in which the early connections are opened, from the start of the callers. */
const OPENING_SPAN_MS = 4_000;
/** Longest time from opening to the request; routers close connections without a head after 3 s. */
const MAXIMUM_WAIT_MS = 2_800;
/** Share of the early connections that served a request before, which may wait for longer. */
const USED_SHARE = 0.4;
const MAXIMUM_IDLE_MS = 7_500;
const CHUNKED_SHARE = 0.3;
const PART_GAPS_MS = [20, 100, 300] as const;

/** The callers of one router. */
export class PersistentCallers {
  private readonly processId: number | undefined;
  private callCount = 0;

  /** @param name beginning of the identifiers of all requests */
  constructor(
    private readonly name: string,
    private readonly router: RouterProcess,
    private readonly keys: readonly CallerKey[],
    private readonly random: RandomSource,
    private readonly calls: CallRecord[],
  ) {
    this.processId = router.processId;
  }

  /** Sends until the process of the router has ended; resolves when all requests have. */
  async run(): Promise<void> {
    const early = Array.from({ length: EARLY_CONNECTIONS }, () => this.callLate());
    await Promise.all([...early, this.callOnNewConnections()]);
  }

  private get isRunning(): boolean {
    return this.router.processId === this.processId && this.processId !== undefined;
  }

  private async callOnNewConnections(): Promise<void> {
    const running: Promise<void>[] = [];
    while (this.isRunning) {
      running.push(this.send());
      await pause(randomInteger(this.random, 2 * NEW_CONNECTION_GAP_MS));
    }
    await Promise.all(running);
  }

  /** Opens a connection, possibly sends a short request on it, and sends another one later. */
  private async callLate(): Promise<void> {
    const isUsed = this.random.next() < USED_SHARE;
    const openingMs = randomInteger(this.random, OPENING_SPAN_MS);
    const waitMs = randomInteger(this.random, isUsed ? MAXIMUM_IDLE_MS : MAXIMUM_WAIT_MS);
    await pause(openingMs);
    if (!this.isRunning) return;
    const socket = await open(this.router.frontendAddress);
    if (!socket) return;
    if (isUsed && !(await this.use(socket))) return;
    await pause(waitMs);
    if (socket.destroyed || socket.readyState !== 'open') return;
    await this.send(socket);
  }

  /** Sends a health check; resolves with whether the connection can be used again. */
  private use(socket: Socket): Promise<boolean> {
    return new Promise((resolve) => {
      socket.once('data', () => resolve(true));
      socket.once('close', () => resolve(false));
      socket.write('GET / HTTP/1.1\r\nHost: soak.example\r\n\r\n');
    });
  }

  private async send(socket?: Socket): Promise<void> {
    this.callCount += 1;
    const kind = randomElement(this.random, KINDS) ?? 'stream-once';
    const key = randomElement(this.random, this.keys) as CallerKey;
    const budgetMs = randomElement(this.random, BUDGETS_MS) ?? LONG_BUDGET_MS;
    const isLong = this.random.next() < LONG_STREAM_SHARE;
    const shape = isLong ? drawLongStream(this.random) : SHORT_STREAM;
    const isChunked = this.random.next() < CHUNKED_SHARE;
    const partGapMs = isChunked ? randomElement(this.random, PART_GAPS_MS) : undefined;
    const id = `${this.name}-${this.callCount}`;
    const identity = { id, key, router: this.router.frontendAddress, budgetMs };
    const record = newRecord(identity, { kind, shape });
    this.calls.push(record);
    await sendCall(record, { ...(socket && { socket }), ...(partGapMs && { partGapMs }) });
  }
}

/** Opens a connection; resolves with undefined if it is refused or closed. */
function open(address: string): Promise<Socket | undefined> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, noDelay: true });
    socket.once('connect', () => resolve(socket));
    socket.on('error', () => resolve(undefined));
    socket.once('close', () => resolve(undefined));
  });
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
