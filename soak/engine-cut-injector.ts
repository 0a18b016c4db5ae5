/**
 * Loaded into a router's process by the soak: cuts its connections to engines on command. A proxy
 * can't do this, because the kernel accepts connections to it on behalf of the engine. Connections to
 * the store and to other routers are not affected.
 */
import net from 'node:net';
import {
  ENGINE_HOST,
  type EngineCutCommand,
  EngineCutMode,
  STORE_PORT_VARIABLE,
} from './engine-cuts.js';

/** Members of a socket's handle that the type definitions lack. */
interface SocketHandle {
  readStart: () => number;
  readStop: () => number;
}

/** An open connection to an engine, and how to resume reading while it is cut. */
interface EngineSocket extends net.Socket {
  _handle?: SocketHandle | null;
}

const storePort = Number(process.env[STORE_PORT_VARIABLE]);
const openSockets = new Set<EngineSocket>();
const resumeReading = new Map<EngineSocket, () => void>();
let mode: EngineCutMode | undefined;

const originalConnect = net.Socket.prototype.connect as (
  this: net.Socket,
  ...args: unknown[]
) => net.Socket;

net.Socket.prototype.connect = function connect(
  this: EngineSocket,
  ...args: unknown[]
): net.Socket {
  if (!isEngine(args)) return originalConnect.apply(this, args);
  if (mode === undefined) {
    this.once('connect', () => openSockets.add(this));
    this.once('close', () => openSockets.delete(this));
    return originalConnect.apply(this, args);
  }
  Object.defineProperty(this, 'connecting', { value: true, writable: true, configurable: true });
  if (isRefusing(mode)) {
    const error = Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' });
    process.nextTick(() => this.destroy(error));
  }
  return this;
} as typeof net.Socket.prototype.connect;

process.on('message', (message: EngineCutCommand) => {
  mode = message.mode;
  if (mode === undefined) endCut();
  else startCut(mode);
});
// The channel must not keep the process from ending.
process.channel?.unref();

function isEngine([first]: readonly unknown[]): boolean {
  const options = (Array.isArray(first) ? first[0] : first) as { host?: string; port?: unknown };
  return options.host === ENGINE_HOST && Number(options.port) !== storePort;
}

function isRefusing(cut: EngineCutMode): boolean {
  return cut === EngineCutMode.Reset || cut === EngineCutMode.RefuseNew;
}

function startCut(cut: EngineCutMode): void {
  if (cut === EngineCutMode.Reset) {
    const error = Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' });
    for (const socket of [...openSockets]) socket.destroy(error);
  }
  if (isRefusing(cut)) return;
  for (const socket of openSockets) {
    stopReading(socket);
    if (cut === EngineCutMode.Silent) socket.cork();
  }
}

function stopReading(socket: EngineSocket): void {
  const handle = socket._handle;
  if (!handle || resumeReading.has(socket)) return;
  const { readStart } = handle;
  handle.readStop();
  handle.readStart = () => 0;
  resumeReading.set(socket, () => {
    handle.readStart = readStart;
    if (socket._handle === handle) handle.readStart();
  });
}

/** Delivers what was held up. */
function endCut(): void {
  for (const [socket, resume] of resumeReading) {
    if (socket.destroyed) continue;
    resume();
    socket.uncork();
  }
  resumeReading.clear();
}
