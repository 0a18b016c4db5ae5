/** Rejects a request whose head shows that it can't be served, before its body is read. */
import type { GatewayContext } from './gateway-context.js';
import type { RequestHead, RouterResponse } from './reply.js';
import { admitRequest } from './request-admission.js';

/** Returns the rejection, which is logged; undefined if the configuration grants the request. */
export function rejectionOfHead(
  head: RequestHead,
  context: GatewayContext,
): RouterResponse | undefined {
  const admission = admitRequest(head, context);
  if (admission.kind === 'granted') return undefined;
  const { logger, rejections, statistics } = context;
  const response =
    admission.kind === 'denied'
      ? admission.response
      : rejections.responseTo({ ...admission, service: '' });
  statistics.requests += 1;
  statistics.rejectedByHead += 1;
  const { status, reason } = response;
  logger.info('request_rejected_by_head', { request: head.id, own_status: status, reason });
  return response;
}
