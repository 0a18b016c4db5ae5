/** Serves a fake engine over the HTTP interface of a model engine (docs/INTERFACES.md). */
import { HttpStatus } from '../../protocol/http-status.js';
import { PassThrough } from 'node:stream';
import type Hapi from '@hapi/hapi';
import { z } from 'zod';
import { type Clock, sleep } from '../../runtime/clock.js';
import type { EngineStreamListener } from '../../protocol/engine/port.js';
import { generationSchema } from '../../protocol/engine/wire.js';
import {
  batchToWire,
  generationFromWire,
  loadToWire,
  snapshotToWire,
  statusToWire,
  usageToWire,
} from '../../protocol/engine/wire-mapping.js';
import {
  type FakeServer,
  addFaultRoute,
  createFakeServer,
  emptyResponse,
  queryNumber,
  startFakeServer,
} from '../http-server.js';
import type { EngineCore } from './engine-core.js';
import type { EngineSequence } from './sequence.js';
import { StreamCursor } from './stream-cursor.js';

const EVENT_POLL_INTERVAL_MS = 40;

const faultsSchema = z.strictObject({
  event_delay_ms: z.number().min(0).optional(),
  event_loss_chance: z.number().min(0).max(1).optional(),
  leaving: z.boolean().optional(),
  crash: z.boolean().optional(),
});

/** Starts the HTTP server of an engine. */
export function startEngineServer(
  core: EngineCore,
  clock: Clock,
  address: string,
): Promise<FakeServer> {
  const server = createFakeServer(address);
  server.ext('onRequest', (request, h) => {
    if (core.isAlive || request.path === '/lab/faults') return h.continue;
    request.raw.req.socket.destroy();
    return h.abandon;
  });
  addStreamRoutes(server, core);
  addCacheRoutes(server, core, clock);
  addFaultRoute(server, faultsSchema, (faults) => applyFaults(core, faults));
  return startFakeServer(server);
}

function addStreamRoutes(server: Hapi.Server, core: EngineCore): void {
  server.route({
    method: 'POST',
    path: '/v1/generate',
    handler: (request, h) => {
      const body = generationSchema.safeParse(request.payload);
      if (!body.success) return reject(h, HttpStatus.BadRequest, 'malformed');
      const result = core.accept(generationFromWire(body.data));
      if (result.kind === 'refused') return reject(h, HttpStatus.Unavailable, result.reason);
      return streamResponse(h, core, result.sequence, 0);
    },
  });
  server.route({
    method: 'GET',
    path: '/v1/requests/{id}/stream',
    handler: (request, h) => {
      const sequence = core.find(String(request.params.id));
      if (!sequence) return h.response({ error: 'no such stream' }).code(HttpStatus.NotFound);
      return streamResponse(h, core, sequence, queryNumber(request, 'offset', 0));
    },
  });
  server.route({
    method: 'DELETE',
    path: '/v1/requests/{id}',
    handler: (request, h) => {
      core.cancel(String(request.params.id));
      return emptyResponse(h);
    },
  });
}

function addCacheRoutes(server: Hapi.Server, core: EngineCore, clock: Clock): void {
  server.route({
    method: 'GET',
    path: '/v1/status',
    handler: () => statusToWire(core.status()),
  });
  server.route({
    method: 'GET',
    path: '/v1/cache/events',
    handler: async (request) => {
      const from = queryNumber(request, 'from', 1);
      const deadlineMs = clock.now() + queryNumber(request, 'wait_ms', 0);
      let batch = core.events(from);
      while (batch.events.length === 0 && clock.now() < deadlineMs && core.isAlive) {
        await sleep(clock, EVENT_POLL_INTERVAL_MS);
        batch = core.events(from);
      }
      return batchToWire(batch);
    },
  });
  server.route({
    method: 'GET',
    path: '/v1/cache/snapshot',
    handler: () => snapshotToWire(core.snapshot()),
  });
}

function applyFaults(core: EngineCore, faults: z.infer<typeof faultsSchema>): void {
  core.eventFaults.delayMs = faults.event_delay_ms ?? core.eventFaults.delayMs;
  core.eventFaults.lossChance = faults.event_loss_chance ?? core.eventFaults.lossChance;
  core.leaving = faults.leaving ?? core.leaving;
  if (faults.crash === true && core.isAlive) core.crash();
  if (faults.crash === false && !core.isAlive) core.restart();
}

function reject(h: Hapi.ResponseToolkit, status: number, reason: string): Hapi.ResponseObject {
  return h.response({ not_run: true, reason }).code(status);
}

function streamResponse(
  h: Hapi.ResponseToolkit,
  core: EngineCore,
  sequence: EngineSequence,
  offset: number,
): Hapi.ResponseObject {
  const output = new PassThrough();
  const listener = new EventWriter(output);
  const cursor = new StreamCursor(core, sequence, offset, listener);
  listener.onFull = () => cursor.pause();
  output.on('drain', () => cursor.resume());
  output.on('close', () => cursor.detach());
  cursor.onProgress();
  return h.response(output).type('text/event-stream').header('cache-control', 'no-cache');
}

/** Writes the events of a stream as server-sent events. */
class EventWriter implements EngineStreamListener {
  onFull: () => void = () => undefined;

  constructor(private readonly output: PassThrough) {}

  onStart(start: Parameters<EngineStreamListener['onStart']>[0]): void {
    this.write({
      type: 'start',
      incarnation: start.incarnation,
      prompt_tokens: start.promptTokens,
      cached_tokens: start.cachedTokens,
      load: loadToWire(start.load),
    });
  }

  onTokens(offset: number, texts: readonly string[]): void {
    this.write({ type: 'tokens', offset, texts });
  }

  onEnd(finishReason: string, usage: Parameters<EngineStreamListener['onEnd']>[1]): void {
    this.write({ type: 'end', finish_reason: finishReason, usage: usageToWire(usage) });
    this.output.end();
  }

  onFailure(): void {
    this.output.destroy();
  }

  private write(event: object): void {
    if (!this.output.write(`data: ${JSON.stringify(event)}\n\n`)) this.onFull();
  }
}
