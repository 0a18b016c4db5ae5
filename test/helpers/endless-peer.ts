/** A server that answers with bytes without end, and a sampler of this process's memory. */
import net, { type AddressInfo } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ExecutionContext } from 'ava';

const SAMPLE_INTERVAL_MS = 2;
const COLLECTIONS = 3;
const COLLECTION_MS = 50;
const POLL_MS = 5;
/** Some bytes of a write, so that the peer's own cost stays small. */
const BLOCK_BYTES = 65_536;

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** What the peer sends after it has received a request. */
export interface EndlessResponse {
  readonly start: string;
  /** Repeated until the connection closes; nothing follows the start if empty. */
  readonly repeated: string;
}

/** A running peer. */
export interface EndlessPeer {
  /** HOST:PORT. */
  readonly address: string;
  readonly openConnections: number;
  /** Bytes that its kernel has taken, on all connections. */
  readonly sentBytes: number;
}

/** The repeated part, as often as one write carries it. */
export function blockOf({ repeated }: Pick<EndlessResponse, 'repeated'>): Buffer {
  return Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)), 'latin1');
}

/** Writes as fast as the connection takes it, until it closes. */
export function writeWithoutEnd(socket: net.Socket, { start, repeated }: EndlessResponse): void {
  if (repeated === '') {
    socket.write(start, 'latin1');
    return;
  }
  const block = blockOf({ repeated });
  const fill = (): void => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', fill);
  socket.write(start, 'latin1');
  fill();
}

/** Starts a server that responds without end to the first bytes of each connection. */
export async function startEndlessPeer(
  t: ExecutionContext,
  response: EndlessResponse,
): Promise<EndlessPeer> {
  const sockets = new Set<net.Socket>();
  let closedBytes = 0;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
      closedBytes += sentBytes(socket);
    });
    socket.once('data', () => writeWithoutEnd(socket, response));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    get openConnections() {
      return sockets.size;
    },
    get sentBytes() {
      return closedBytes + [...sockets].reduce((sum, socket) => sum + sentBytes(socket), 0);
    },
  };
}

function sentBytes(socket: net.Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

/** Highest growth of this process's buffers while the task runs, with those not collected yet. */
export async function peakBufferGrowth(task: () => Promise<unknown>): Promise<number> {
  const before = process.memoryUsage().arrayBuffers;
  let peak = 0;
  const sample = (): void => {
    peak = Math.max(peak, process.memoryUsage().arrayBuffers - before);
  };
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  await task();
  sample();
  clearInterval(timer);
  return peak;
}

/** Buffers that this process holds after a collection, which frees them in the background. */
export async function heldBufferBytes(): Promise<number> {
  for (let collections = 0; collections < COLLECTIONS; collections += 1) {
    collectGarbage();
    await new Promise((resolve) => setTimeout(resolve, COLLECTION_MS));
  }
  return process.memoryUsage().arrayBuffers;
}

/** Resolves once the condition holds, or to false after the time. */
export async function holdsWithin(condition: () => boolean, timeMs: number): Promise<boolean> {
  const deadline = Date.now() + timeMs;
  while (!condition() && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return condition();
}
