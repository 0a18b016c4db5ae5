/** The engine port over HTTP and server-sent events (docs/INTERFACES.md, "Model engine"). */
import { HttpStatus } from '../http-status.js';
import type { IncomingMessage } from 'node:http';
import { type EventSourceParser, createParser } from 'eventsource-parser';
import { ProtocolFailure, toProtocolError } from '../errors.js';
import { exchangeJson, openHttp, parseJson } from '../http-json.js';
import Wreck from '@hapi/wreck';
import type {
  EngineEventBatch,
  EngineFailure,
  EngineGeneration,
  EnginePort,
  EngineSnapshot,
  EngineStream,
  EngineStreamListener,
} from './port.js';
import { eventBatchSchema, refusalSchema, snapshotSchema, streamEventSchema } from './wire.js';
import {
  batchFromWire,
  generationToWire,
  loadFromWire,
  snapshotFromWire,
  usageFromWire,
} from './wire-mapping.js';

/** Response timeout, added to the wait time that the request allows the engine. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** One generation stream, read from a server-sent event response. */
class HttpEngineStream implements EngineStream {
  private response: IncomingMessage | undefined;
  private parser: EventSourceParser | undefined;
  private closed = false;
  private paused = false;

  constructor(
    private readonly address: string,
    private readonly engineRequestId: string,
    private readonly listener: EngineStreamListener,
  ) {}

  async open(method: string, path: string, payload?: unknown): Promise<void> {
    let response: IncomingMessage;
    try {
      response = await openHttp(method, this.address, path, payload);
    } catch (error) {
      this.fail(toEngineFailure(error, this.address));
      return;
    }
    if (this.closed) response.destroy();
    else if (response.statusCode === HttpStatus.Ok) this.read(response);
    else this.fail(await readRefusal(response));
  }

  pause(): void {
    this.paused = true;
    this.response?.pause();
  }

  resume(): void {
    this.paused = false;
    this.response?.resume();
  }

  cancel(): void {
    this.detach();
    const path = `/v1/requests/${encodeURIComponent(this.engineRequestId)}`;
    // Errors are ignored: without the cancellation the generation ends at its token limit.
    exchangeJson('DELETE', this.address, path, undefined, RESPONSE_TIMEOUT_MS).catch(
      () => undefined,
    );
  }

  detach(): void {
    this.closed = true;
    this.response?.destroy();
  }

  private read(response: IncomingMessage): void {
    this.response = response;
    this.parser = createParser({ onEvent: (event) => this.handleEvent(event.data) });
    response.setEncoding('utf8');
    response.on('data', (text: string) => this.parser?.feed(text));
    response.on('error', () => undefined);
    response.on('close', () => this.fail({ kind: 'interrupted', reason: 'stream closed' }));
    if (this.paused) response.pause();
  }

  private handleEvent(data: string): void {
    if (this.closed) return;
    const event = streamEventSchema.safeParse(tryParseJson(data));
    if (!event.success) {
      this.fail({ kind: 'interrupted', reason: 'malformed stream event' });
      return;
    }
    switch (event.data.type) {
      case 'start':
        this.listener.onStart({
          incarnation: event.data.incarnation,
          promptTokens: event.data.prompt_tokens,
          cachedTokens: event.data.cached_tokens,
          load: loadFromWire(event.data.load),
        });
        break;
      case 'tokens':
        this.listener.onTokens(event.data.offset, event.data.texts);
        break;
      case 'end':
        this.closed = true;
        this.listener.onEnd(event.data.finish_reason, usageFromWire(event.data.usage));
    }
  }

  private fail(failure: EngineFailure): void {
    if (this.closed) return;
    this.detach();
    this.listener.onFailure(failure);
  }
}

/** Client of engines over HTTP. */
export class HttpEngineClient implements EnginePort {
  generate(
    address: string,
    generation: EngineGeneration,
    listener: EngineStreamListener,
  ): EngineStream {
    const stream = new HttpEngineStream(address, generation.engineRequestId, listener);
    void stream.open('POST', '/v1/generate', generationToWire(generation));
    return stream;
  }

  resume(
    address: string,
    engineRequestId: string,
    offset: number,
    listener: EngineStreamListener,
  ): EngineStream {
    const stream = new HttpEngineStream(address, engineRequestId, listener);
    const path = `/v1/requests/${encodeURIComponent(engineRequestId)}/stream?offset=${offset}`;
    void stream.open('GET', path);
    return stream;
  }

  async events(address: string, fromSequence: number, waitMs: number): Promise<EngineEventBatch> {
    const path = `/v1/cache/events?from=${fromSequence}&wait_ms=${waitMs}`;
    const body = await getJson(address, path, waitMs + RESPONSE_TIMEOUT_MS);
    const batch = eventBatchSchema.safeParse(body);
    if (!batch.success) throw new ProtocolFailure({ kind: 'malformed', reason: 'event batch' });
    return batchFromWire(batch.data);
  }

  async snapshot(address: string): Promise<EngineSnapshot> {
    const snapshot = snapshotSchema.safeParse(
      await getJson(address, '/v1/cache/snapshot', RESPONSE_TIMEOUT_MS),
    );
    if (!snapshot.success) throw new ProtocolFailure({ kind: 'malformed', reason: 'snapshot' });
    return snapshotFromWire(snapshot.data);
  }
}

async function getJson(address: string, path: string, timeoutMs: number): Promise<unknown> {
  const response = await exchangeJson('GET', address, path, undefined, timeoutMs);
  if (response.status !== HttpStatus.Ok) {
    throw new ProtocolFailure({ kind: 'rejected', status: response.status, reason: path });
  }
  return response.body;
}

function toEngineFailure(error: unknown, address: string): EngineFailure {
  const cause = toProtocolError(error, address);
  if (cause.kind === 'unreachable') return { kind: 'unreachable', reason: cause.reason };
  return { kind: 'interrupted', reason: 'connection lost' };
}

/**
 * Only a body with `not_run` proves that the engine did not run the request; with any other error
 * status it may have run.
 */
async function readRefusal(response: IncomingMessage): Promise<EngineFailure> {
  const status = response.statusCode ?? 0;
  const text = await Wreck.read(response, {}).then(String, () => '');
  const refusal = refusalSchema.safeParse(tryParseJson(text));
  if (refusal.success) return { kind: 'refused', reason: refusal.data.reason };
  if (status === HttpStatus.NotFound) return { kind: 'not-found' };
  return { kind: 'interrupted', reason: `status ${status}` };
}

function tryParseJson(text: string): unknown {
  try {
    return parseJson(text);
  } catch {
    return undefined;
  }
}
