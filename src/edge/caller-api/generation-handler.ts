/** Handles chat completions and text completions, streamed or not. */
import { PassThrough } from 'node:stream';
import type Hapi from '@hapi/hapi';
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import type {
  CallerSink,
  CallerUsage,
  GenerationRequest,
} from '../../coordination/agent/caller.js';
import type { FailedCall } from '../../coordination/errors.js';
import {
  type ApiError,
  apiErrorOf,
  forbidden,
  invalidRequest,
  notFound,
  respondError,
} from './api-error.js';
import {
  type CompletionShape,
  type GenerationBody,
  type ResponseIdentity,
  parseBody,
  completeBody,
} from './generation-bodies.js';
import { type RequestContext, readContext } from './request-context.js';
import { StreamWriter } from './stream-writer.js';

const MS_PER_SECOND = 1_000;

/** Creates the request handler for one shape. */
export function generationHandler(agent: AgentNode, shape: CompletionShape): Hapi.Lifecycle.Method {
  return (request, h) => {
    const contextResult = readContext(agent, request);
    if (contextResult.kind === 'refused') return respondError(h, contextResult.error, '');
    const { context } = contextResult;
    const parsed = parseBody(shape, request.payload);
    if (parsed.kind === 'malformed') {
      return respondError(h, invalidRequest(parsed.message), context.requestId);
    }
    const { body } = parsed;
    const modelError = checkModel(agent, context.tenant, body.model);
    if (modelError) return respondError(h, modelError, context.requestId);
    const identity = {
      shape,
      requestId: context.requestId,
      model: body.model,
      created: Math.floor(Date.now() / MS_PER_SECOND),
    };
    const generation = generationRequest(agent, context, body);
    return body.stream
      ? respondStreaming(agent, h, generation, identity, body.includeUsage)
      : respondComplete(agent, request, h, generation, identity);
  };
}

function checkModel(agent: AgentNode, tenant: string, model: string): ApiError | undefined {
  if (agent.configuration.allowedModel(tenant, model)) return undefined;
  if (agent.configuration.hasModel(model)) {
    return forbidden(`the key's tenant may not use model "${model}"`);
  }
  return notFound(`no model named "${model}"`);
}

function generationRequest(
  agent: AgentNode,
  context: RequestContext,
  body: GenerationBody,
): GenerationRequest {
  const prompt = Buffer.from(body.prompt, 'utf8');
  const routeKey = agent.routeKeyOf(context.tenant, body.model, prompt, context.requestId);
  const { model, maxTokens } = body;
  const { tenant, requestId, deadlineMs, priority } = context;
  const common = { tenant, requestId, deadlineMs, priority, keyed: false, routeKey };
  return { kind: 'generation', ...common, model, prompt, maxTokens };
}

function respondStreaming(
  agent: AgentNode,
  h: Hapi.ResponseToolkit,
  generation: GenerationRequest,
  identity: ResponseIdentity,
  includeUsage: boolean,
): Promise<Hapi.ResponseObject> {
  const output = new PassThrough();
  const writer = new StreamWriter(output, identity, includeUsage);
  return new Promise((resolve) => {
    const sink = new DeferredStreamSink(writer, (failed) => {
      resolve(
        failed
          ? respondError(h, apiErrorOf(failed), identity.requestId)
          : h
              .response(output)
              .type('text/event-stream')
              .header('cache-control', 'no-cache')
              .header('x-request-id', identity.requestId),
      );
    });
    writer.handle = agent.submit(generation, sink);
  });
}

/** Starts the response with the first text, so that an earlier failure has its own HTTP status. */
class DeferredStreamSink implements CallerSink {
  private responseStarted = false;

  constructor(
    private readonly writer: StreamWriter,
    private readonly startResponse: (failed?: FailedCall) => void,
  ) {}

  onTexts(sequence: number, texts: readonly string[]): void {
    this.ensureResponseStarted();
    this.writer.onTexts(sequence, texts);
  }

  onFinished(finishReason: string, usage: CallerUsage): void {
    this.ensureResponseStarted();
    this.writer.onFinished(finishReason, usage);
  }

  onOutcome(): void {
    this.writer.onOutcome();
  }

  onFailed(failed: FailedCall): void {
    if (this.responseStarted) this.writer.onFailed(failed);
    else this.startResponse(failed);
  }

  private ensureResponseStarted(): void {
    if (this.responseStarted) return;
    this.responseStarted = true;
    this.startResponse();
  }
}

function respondComplete(
  agent: AgentNode,
  request: Hapi.Request,
  h: Hapi.ResponseToolkit,
  generation: GenerationRequest,
  identity: ResponseIdentity,
): Promise<Hapi.ResponseObject> {
  return new Promise((resolve) => {
    const texts: string[] = [];
    let ended = false;
    const respond = (response: Hapi.ResponseObject): void => {
      ended = true;
      resolve(response.header('x-request-id', identity.requestId));
    };
    const handle = agent.submit(generation, {
      onTexts: (_sequence, newTexts) => {
        texts.push(...newTexts);
        handle.consumed(newTexts.length);
      },
      onFinished: (reason, usage) => {
        respond(h.response(completeBody(identity, texts.join(''), reason, usage)));
      },
      onOutcome: () => undefined,
      onFailed: (failed) => {
        respond(respondError(h, apiErrorOf(failed), identity.requestId));
      },
    });
    request.raw.res.once('close', () => {
      if (!ended) handle.cancel();
    });
  });
}
