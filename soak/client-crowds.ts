/** Clients that do not behave: crowds that come to one listener of a router. */
import { type Socket, connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { HOST } from './wire.js';

/** Pause before a client whose connection was closed opens the next one. */
const RETURN_MS = 50;
const BYTES_PER_WRITE = 65_536;

/** What each client of a crowd does; it stays, and comes back when its connection is closed. */
export interface Crowd {
  readonly clients: number;
  /** What a client sends on one connection. */
  bytesOf(client: number): Iterable<Buffer>;
  /** Pause between two writes; none if left out. */
  readonly pauseMs?: number;
  /** Whether the clients read what they receive; true if left out. */
  readonly isReading?: boolean;
  /** Bytes of the bodies of the ordinary requests that are sent meanwhile. */
  readonly ordinaryBodyBytes?: number;
}

/** Lets the clients in, and makes them leave when the returned function is called. */
export function admitCrowd(crowd: Crowd, address: string): () => Promise<void> {
  const state = { isOver: false };
  const sockets = new Set<Socket>();
  const clients = Array.from({ length: crowd.clients }, (_, client) =>
    stay(crowd, client, address, sockets, state),
  );
  return async () => {
    state.isOver = true;
    for (const socket of sockets) socket.destroy();
    await Promise.all(clients);
  };
}

async function stay(
  crowd: Crowd,
  client: number,
  address: string,
  sockets: Set<Socket>,
  state: { readonly isOver: boolean },
): Promise<void> {
  const [host, port] = address.split(':');
  while (!state.isOver) {
    const socket = connect({ host, port: Number(port) });
    sockets.add(socket);
    const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
    socket.on('error', () => undefined);
    if (crowd.isReading === false) socket.pause();
    else socket.resume();
    await send(crowd, client, socket, closed);
    await closed;
    sockets.delete(socket);
    await pause(RETURN_MS);
  }
}

async function send(
  { bytesOf, pauseMs }: Crowd,
  client: number,
  socket: Socket,
  closed: Promise<void>,
): Promise<void> {
  for (const bytes of bytesOf(client)) {
    if (socket.destroyed) return;
    if (!socket.write(bytes)) await Promise.race([drained(socket), closed]);
    if (pauseMs !== undefined) await pause(pauseMs);
  }
}

/** Resolves once the socket takes more; never if it closes before. */
export function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once('drain', () => resolve()));
}

/** Head of a request; further lines end with a line break each. */
export function requestHead(method: string, path: string, attempt: string, lines = ''): string {
  return `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Peatspan-Attempt-Id: ${attempt}\r\n${lines}\r\n`;
}

/** A chunked body in chunks of one size; the last chunk is missing, so that it has no end. */
export function* endlessBody(bodyBytes: number, chunkBytes: number): Iterable<Buffer> {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`);
  yield* repeated(chunk, Math.floor(bodyBytes / chunkBytes));
}

/** The same bytes so many times, in pieces of a size that is written at once. */
export function* repeated(bytes: Buffer, times: number): Iterable<Buffer> {
  const perWrite = Math.max(1, Math.floor(BYTES_PER_WRITE / bytes.length));
  const piece = Buffer.concat(Array.from({ length: perWrite }, () => bytes));
  for (let sent = 0; sent < times; sent += perWrite) {
    const rest = Math.min(perWrite, times - sent);
    yield rest === perWrite ? piece : piece.subarray(0, rest * bytes.length);
  }
}

/** An upload in chunks that stops just short of its end. */
export function* unendedUpload(
  path: string,
  key: string,
  bodyBytes: number,
  chunkBytes: number,
): Iterable<Buffer> {
  const lines = `Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n`;
  yield Buffer.from(requestHead('POST', path, `upload-${chunkBytes}`, lines));
  yield* endlessBody(bodyBytes, chunkBytes);
}

/** A whole upload. */
export function* wholeUpload(
  path: string,
  key: string,
  bodyBytes: number,
  chunkBytes: number,
): Iterable<Buffer> {
  yield* unendedUpload(path, key, bodyBytes, chunkBytes);
  yield Buffer.from('0\r\n\r\n');
}

/** Pipelined requests without bodies, of which none waits for its response. */
export function* pipelined(
  path: string,
  key: string,
  count: number,
  headBytes: number,
): Iterable<Buffer> {
  const lines = `Api-Key: ${key}\r\n`;
  const padding = headBytes - requestHead('GET', path, 'pipelined', lines).length;
  const head = `${lines}X-Padding: ${'x'.repeat(Math.max(0, padding))}\r\n`;
  yield* repeated(Buffer.from(requestHead('GET', path, 'pipelined', head)), count);
}

/** The beginning of a head, which has no end. */
export function* unendedHead(path: string, headBytes: number): Iterable<Buffer> {
  const start = `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n`;
  yield Buffer.from(`${start}X-Padding: ${'x'.repeat(headBytes - start.length)}`);
}

/** Requests for generations whose prompts, models and identifiers differ each time. */
export function* promptHeads(
  path: string,
  key: string,
  client: number,
  count: number,
): Iterable<Buffer> {
  for (let index = 0; index < count; index += 1) {
    const part = (client * count + index).toString(16);
    const parts = Array.from({ length: 900 }, (_, each) => `${part}${each.toString(16)}:9`);
    const lines =
      `Api-Key: ${key}\r\nX-Peatspan-Model: model-${part}\r\nX-Peatspan-Token-Usage: 300,1\r\n` +
      `X-Peatspan-Prompt-Prefix: ${parts.join(',')}\r\n`;
    yield Buffer.from(requestHead('POST', path, `prompt-${part}`, `${lines}Content-Length: 0\r\n`));
  }
}
