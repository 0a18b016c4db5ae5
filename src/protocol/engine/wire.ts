/** Schemas of the JSON bodies of the engine's HTTP interface. */
import { z } from 'zod';

const HEXADECIMAL = 16;
const hash = z.string().regex(/^[0-9a-f]{1,16}$/);
const count = z.number().int().min(0);

export const loadSchema = z.object({
  waiting_tokens: count,
  requests: count,
  maximum_requests: count,
  prefill_tokens_per_second: z.number().min(0),
});

export const statusSchema = z.object({
  engine_id: z.string(),
  incarnation: count,
  model: z.string(),
  weights_digest: z.string(),
  adapter_digest: z.string(),
  leaving: z.boolean(),
  load: loadSchema,
});

export const generationSchema = z.object({
  request_id: z.string().min(1),
  model: z.string(),
  weights_digest: z.string(),
  adapter_digest: z.string(),
  cache_salt: hash,
  prompt: z.string(),
  continuation: z.string(),
  max_tokens: z.number().int().min(1),
  priority: z.number().int(),
});

export const cacheEventSchema = z.object({
  kind: z.enum(['stored', 'removed']),
  block: hash,
  parent: hash.optional(),
});

export const eventBatchSchema = z.object({
  incarnation: count,
  first_sequence: count,
  events: z.array(cacheEventSchema),
  status: statusSchema,
});

export const snapshotSchema = z.object({
  incarnation: count,
  next_sequence: count,
  blocks: z.array(cacheEventSchema),
});

export const usageSchema = z.object({
  prompt_tokens: count,
  cached_tokens: count,
  completion_tokens: count,
});

/** One server-sent event of a generation stream. */
export const streamEventSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    incarnation: count,
    prompt_tokens: count,
    cached_tokens: count,
    load: loadSchema,
  }),
  z.object({ type: z.literal('tokens'), offset: count, texts: z.array(z.string()) }),
  z.object({ type: z.literal('end'), finish_reason: z.string(), usage: usageSchema }),
]);

/** Body of a rejection: the engine did not run the request. */
export const refusalSchema = z.object({ not_run: z.literal(true), reason: z.string() });

/** Formats a block hash in hexadecimal. */
export function formatHash(value: bigint): string {
  return value.toString(HEXADECIMAL);
}

/** Parses a hexadecimal block hash. */
export function parseHash(text: string): bigint {
  return BigInt(`0x${text}`);
}
