/** A request and send options for tests of exchanges with engines. */
import type { ForwardedRequest, SendOptions } from '../../src/protocol/inference/port.js';
import { RequestBody } from '../../src/runtime/request-body.js';

export const REQUEST: ForwardedRequest = {
  id: 'request-1',
  method: 'POST',
  target: '/a/b?c=d',
  hostHeader: 'host.example',
  headers: [['X-Peatspan-Attempt-Id', 'request-1']],
  body: RequestBody.of(Buffer.from('body')),
};

export const SEND_OPTIONS: SendOptions = {
  budgetMs: 500,
  tenant: 'tenant-1',
  expectedInstance: 'engine-1',
  expectedVersion: undefined,
  cacheSalt: undefined,
  urgency: undefined,
  fetchFrom: undefined,
  saveTo: undefined,
  resumeAfter: undefined,
};

/** Head of a response to {@link REQUEST}, without the headers that state its length. */
export const RESPONSE_HEAD =
  'HTTP/1.1 200 OK\r\nX-Peatspan-Attempt-Id: request-1\r\nX-Peatspan-Response-Seal: s\r\n';
