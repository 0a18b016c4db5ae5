/** Request and response bodies of chat completions and text completions. */
import { z } from 'zod';
import type { CallerUsage } from '../../coordination/agent/caller.js';

const DEFAULT_MAXIMUM_TOKENS = 128;
const MAXIMUM_TOKENS = 100_000;

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(textPartSchema), z.null()]),
});

const maximumTokensSchema = z.number().int().min(1).max(MAXIMUM_TOKENS);

/** Fields of both request shapes. Unknown fields are ignored, since client libraries send many. */
const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  max_tokens: maximumTokensSchema.nullish(),
};

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1),
  max_completion_tokens: maximumTokensSchema.nullish(),
});

const completionSchema = z.object({ ...commonFields, prompt: z.string() });

/** The parsed parameters of a generation request. */
export interface GenerationBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** The parsed body, or a description of its first error. */
export type BodyResult =
  | { readonly kind: 'ok'; readonly body: GenerationBody }
  | { readonly kind: 'malformed'; readonly message: string };

/** Shape of a request: chat completion or text completion. */
export type CompletionShape = 'chat' | 'text';

/** Parses a request body. */
export function parseBody(shape: CompletionShape, payload: unknown): BodyResult {
  return shape === 'chat' ? parseChat(payload) : parseCompletion(payload);
}

function parseChat(payload: unknown): BodyResult {
  const parsed = chatSchema.safeParse(payload);
  if (!parsed.success) return malformed(parsed.error);
  const { data } = parsed;
  const maxTokens = data.max_completion_tokens ?? data.max_tokens;
  return { kind: 'ok', body: commonBody(data, renderMessages(data.messages), maxTokens) };
}

function parseCompletion(payload: unknown): BodyResult {
  const parsed = completionSchema.safeParse(payload);
  if (!parsed.success) return malformed(parsed.error);
  const { data } = parsed;
  return { kind: 'ok', body: commonBody(data, data.prompt, data.max_tokens) };
}

type CommonFields = Pick<z.infer<typeof completionSchema>, 'model' | 'stream' | 'stream_options'>;

function commonBody(
  data: CommonFields,
  prompt: string,
  maxTokens: number | null | undefined,
): GenerationBody {
  return {
    model: data.model,
    prompt,
    maxTokens: maxTokens ?? DEFAULT_MAXIMUM_TOKENS,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  };
}

function malformed(error: z.ZodError): BodyResult {
  const [issue] = error.issues;
  const path = issue?.path.join('.') || 'body';
  return { kind: 'malformed', message: `${path}: ${issue?.message ?? 'malformed'}` };
}

/** Renders messages as one prompt. Equal leading messages render as equal prompt prefixes. */
function renderMessages(messages: z.infer<typeof chatSchema>['messages']): string {
  const rendered = messages.map(({ role, content }) => `<|${role}|>\n${textOf(content)}\n`);
  return `${rendered.join('')}<|assistant|>\n`;
}

function textOf(content: z.infer<typeof messageSchema>['content']): string {
  if (content === null) return '';
  if (typeof content === 'string') return content;
  return content.map((part) => part.text).join('');
}

/** Fields that identify a response, repeated in each of its chunks. */
export interface ResponseIdentity {
  readonly shape: CompletionShape;
  readonly requestId: string;
  readonly model: string;
  /** Unix time in seconds. */
  readonly created: number;
}

function usageBody(usage: CallerUsage): object {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

function envelope(identity: ResponseIdentity, chunk: boolean): object {
  const { shape, requestId, model, created } = identity;
  if (shape === 'text')
    return { id: `cmpl-${requestId}`, object: 'text_completion', created, model };
  const object = chunk ? 'chat.completion.chunk' : 'chat.completion';
  return { id: `chatcmpl-${requestId}`, object, created, model };
}

/** Body of a response that is not streamed. */
export function completeBody(
  identity: ResponseIdentity,
  text: string,
  finishReason: string,
  usage: CallerUsage,
): object {
  const content =
    identity.shape === 'chat' ? { message: { role: 'assistant', content: text } } : { text };
  const choice = { index: 0, ...content, finish_reason: finishReason, logprobs: null };
  return { ...envelope(identity, false), choices: [choice], usage: usageBody(usage) };
}

/** A chunk of streamed text. */
export function chunkBody(identity: ResponseIdentity, text: string, first: boolean): object {
  const delta = first ? { role: 'assistant', content: text } : { content: text };
  const content = identity.shape === 'chat' ? { delta } : { text };
  const choice = { index: 0, ...content, finish_reason: null, logprobs: null };
  return { ...envelope(identity, true), choices: [choice] };
}

/** The final chunk of a stream, with the finish reason. */
export function finalChunkBody(identity: ResponseIdentity, finishReason: string): object {
  const content = identity.shape === 'chat' ? { delta: {} } : { text: '' };
  const choice = { index: 0, ...content, finish_reason: finishReason, logprobs: null };
  return { ...envelope(identity, true), choices: [choice] };
}

/** The usage chunk, sent if the caller requested it. */
export function usageChunkBody(identity: ResponseIdentity, usage: CallerUsage): object {
  return { ...envelope(identity, true), choices: [], usage: usageBody(usage) };
}
