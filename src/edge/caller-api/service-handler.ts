/** Handles operations of plain services, which have no inference engine. */
import type Hapi from '@hapi/hapi';
import type { AgentNode } from '../../coordination/agent/agent-node.js';
import { identifierForKey } from '../../coordination/agent/idempotency-keys.js';
import type { OperationRequest } from '../../coordination/agent/caller.js';
import { apiErrorOf, notFound, respondError } from './api-error.js';
import { readContext } from './request-context.js';

/** Creates the handler of `POST /v1/services/{service}/{operation}`. */
export function serviceHandler(agent: AgentNode): Hapi.Lifecycle.Method {
  return (request, h) => {
    const contextResult = readContext(agent, request);
    if (contextResult.kind === 'refused') return respondError(h, contextResult.error, '');
    const { context } = contextResult;
    const service = String(request.params.service);
    const operation = String(request.params.operation);
    const policy = agent.configuration.operation(context.tenant, service, operation);
    if (!policy) {
      const error = notFound(`no operation "${service}/${operation}" for the key's tenant`);
      return respondError(h, error, context.requestId);
    }
    const { tenant, deadlineMs, priority, idempotencyKey } = context;
    // A repeatable operation needs no deduplication, so its idempotency key is ignored.
    const key = policy.repeatable ? undefined : idempotencyKey;
    const scope = `${service}/${operation}`;
    const requestId = key === undefined ? context.requestId : identifierForKey(tenant, scope, key);
    return submit(agent, request, h, {
      kind: 'operation',
      tenant,
      requestId,
      deadlineMs,
      priority,
      keyed: key !== undefined,
      service,
      operation,
      payload: Buffer.from(JSON.stringify(request.payload ?? {}), 'utf8'),
      repeatable: policy.repeatable,
      routeKey: agent.operationKeyOf(requestId),
    });
  };
}

function submit(
  agent: AgentNode,
  request: Hapi.Request,
  h: Hapi.ResponseToolkit,
  operation: OperationRequest,
): Promise<Hapi.ResponseObject> {
  const { requestId } = operation;
  return new Promise((resolve) => {
    let ended = false;
    const handle = agent.submit(operation, {
      onTexts: () => undefined,
      onFinished: () => undefined,
      onOutcome: (status, body) => {
        ended = true;
        const text = Buffer.from(body).toString('utf8');
        const response = h.response(text).type('application/json').code(status);
        resolve(response.header('x-request-id', requestId));
      },
      onFailed: (failed) => {
        ended = true;
        resolve(respondError(h, apiErrorOf(failed), requestId));
      },
    });
    request.raw.res.once('close', () => {
      if (!ended) handle.cancel();
    });
  });
}
