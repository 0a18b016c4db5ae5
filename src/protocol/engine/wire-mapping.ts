/** Converts between the engine's JSON bodies and the types of the engine port. */
import type { z } from 'zod';
import type {
  EngineCacheEvent,
  EngineEventBatch,
  EngineGeneration,
  EngineLoadReport,
  EngineSnapshot,
  EngineStatus,
  EngineUsage,
} from './port.js';
import {
  type cacheEventSchema,
  type eventBatchSchema,
  formatHash,
  type generationSchema,
  type loadSchema,
  parseHash,
  type snapshotSchema,
  type statusSchema,
  type usageSchema,
} from './wire.js';

type WireLoad = z.infer<typeof loadSchema>;
type WireStatus = z.infer<typeof statusSchema>;
type WireEvent = z.infer<typeof cacheEventSchema>;

export function loadToWire(load: EngineLoadReport): WireLoad {
  return {
    waiting_tokens: load.waitingTokens,
    requests: load.requests,
    maximum_requests: load.maximumRequests,
    prefill_tokens_per_second: load.prefillTokensPerSecond,
  };
}

export function loadFromWire(load: WireLoad): EngineLoadReport {
  return {
    waitingTokens: load.waiting_tokens,
    requests: load.requests,
    maximumRequests: load.maximum_requests,
    prefillTokensPerSecond: load.prefill_tokens_per_second,
  };
}

export function statusToWire(status: EngineStatus): WireStatus {
  return {
    engine_id: status.engineId,
    incarnation: status.incarnation,
    model: status.model,
    weights_digest: status.weightsDigest,
    adapter_digest: status.adapterDigest,
    leaving: status.leaving,
    load: loadToWire(status.load),
  };
}

export function statusFromWire(status: WireStatus): EngineStatus {
  return {
    engineId: status.engine_id,
    incarnation: status.incarnation,
    model: status.model,
    weightsDigest: status.weights_digest,
    adapterDigest: status.adapter_digest,
    leaving: status.leaving,
    load: loadFromWire(status.load),
  };
}

export function generationToWire(generation: EngineGeneration): z.infer<typeof generationSchema> {
  return {
    request_id: generation.engineRequestId,
    model: generation.model,
    weights_digest: generation.weightsDigest,
    adapter_digest: generation.adapterDigest,
    cache_salt: generation.cacheSalt,
    prompt: Buffer.from(generation.prompt).toString('utf8'),
    continuation: generation.continuation,
    max_tokens: generation.maxTokens,
    priority: generation.priority,
  };
}

export function generationFromWire(body: z.infer<typeof generationSchema>): EngineGeneration {
  return {
    engineRequestId: body.request_id,
    model: body.model,
    weightsDigest: body.weights_digest,
    adapterDigest: body.adapter_digest,
    cacheSalt: body.cache_salt,
    prompt: Buffer.from(body.prompt, 'utf8'),
    continuation: body.continuation,
    maxTokens: body.max_tokens,
    priority: body.priority,
  };
}

function eventToWire(event: EngineCacheEvent): WireEvent {
  const parent = event.parent === undefined ? {} : { parent: formatHash(event.parent) };
  return { kind: event.kind, block: formatHash(event.block), ...parent };
}

function eventFromWire(event: WireEvent): EngineCacheEvent {
  return {
    kind: event.kind,
    block: parseHash(event.block),
    parent: event.parent === undefined ? undefined : parseHash(event.parent),
  };
}

export function batchToWire(batch: EngineEventBatch): z.infer<typeof eventBatchSchema> {
  return {
    incarnation: batch.incarnation,
    first_sequence: batch.firstSequence,
    events: batch.events.map(eventToWire),
    status: statusToWire(batch.status),
  };
}

export function batchFromWire(batch: z.infer<typeof eventBatchSchema>): EngineEventBatch {
  return {
    incarnation: batch.incarnation,
    firstSequence: batch.first_sequence,
    events: batch.events.map(eventFromWire),
    status: statusFromWire(batch.status),
  };
}

export function snapshotToWire(snapshot: EngineSnapshot): z.infer<typeof snapshotSchema> {
  return {
    incarnation: snapshot.incarnation,
    next_sequence: snapshot.nextSequence,
    blocks: snapshot.blocks.map(eventToWire),
  };
}

export function snapshotFromWire(snapshot: z.infer<typeof snapshotSchema>): EngineSnapshot {
  return {
    incarnation: snapshot.incarnation,
    nextSequence: snapshot.next_sequence,
    blocks: snapshot.blocks.map(eventFromWire),
  };
}

export function usageToWire(usage: EngineUsage): z.infer<typeof usageSchema> {
  return {
    prompt_tokens: usage.promptTokens,
    cached_tokens: usage.cachedTokens,
    completion_tokens: usage.completionTokens,
  };
}

export function usageFromWire(usage: z.infer<typeof usageSchema>): EngineUsage {
  return {
    promptTokens: usage.prompt_tokens,
    cachedTokens: usage.cached_tokens,
    completionTokens: usage.completion_tokens,
  };
}
