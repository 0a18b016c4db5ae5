/** A router that a test stops, with its callers, over sockets of the loopback interface. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import net from 'node:net';
import type { ExecutionContext } from 'ava';
import { StopSequence } from '../../platform/stop-sequence.js';
import { STREAM_PATH, type SocketRouter, startEngine, startRouter, wait } from './socket-router.js';

const GRACE_S = 5;

/** How an engine responds. */
export type Respond = (request: IncomingMessage, response: ServerResponse) => void;

/** A caller and what it has received. */
export class Caller {
  readonly socket: net.Socket;
  received = '';
  isClosed = false;

  constructor(t: ExecutionContext, { port }: SocketRouter) {
    this.socket = net.connect(port, '127.0.0.1');
    t.teardown(() => this.socket.destroy());
    this.socket.on('data', (chunk) => (this.received += chunk.toString('latin1')));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
  }

  /** Sends a request, with the head of a chunked body if `isChunked` is set. */
  send(id: string, isChunked = false, path = STREAM_PATH): void {
    const body = isChunked ? 'Transfer-Encoding: chunked' : 'Content-Length: 0';
    this.socket.write(
      `POST ${path} HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: ${id}\r\n` +
        `Api-Key: key-1\r\n${body}\r\n\r\n`,
    );
  }

  sendChunk(text: string): void {
    this.socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  }
}

/** A router that can be stopped, and the requests that its engines have received. */
export class StoppableRouter {
  hasExited = false;
  private startedMs = 0;
  readonly sends: string[] = [];
  router!: SocketRouter;

  static async start(
    t: ExecutionContext,
    engines: readonly Respond[],
    objectiveMs?: number,
  ): Promise<StoppableRouter> {
    const stopping = new StoppableRouter();
    const addresses = await Promise.all(
      engines.map((respond) =>
        startEngine(t, (request, response) => {
          stopping.sends.push(String(request.headers['x-peatspan-attempt-id']));
          respond(request, response);
        }),
      ),
    );
    stopping.router = await startRouter(t, addresses, {}, undefined, objectiveMs);
    return stopping;
  }

  /** Begins the stop, with a grace period of 5 s; the signal may have waited for `longestDelayMs`. */
  stop(longestDelayMs = 0): void {
    const { node, ingress, clock, logger } = this.router;
    this.startedMs = performance.now();
    new StopSequence(node, ingress, clock, logger, GRACE_S, { longestDelayMs }, () => {
      this.hasExited = true;
    }).begin();
  }

  /** Waits until a time after the stop. */
  async until(afterMs: number): Promise<void> {
    await wait(Math.max(0, this.startedMs + afterMs - performance.now()));
  }
}
