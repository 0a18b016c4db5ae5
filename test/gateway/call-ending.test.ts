/** Guards against a final response that denies or promises more than what is known of the request. */
import test from 'ava';
import { CallEnding } from '../../src/coordination/gateway/call-ending.js';
import type { CallRecord } from '../../src/coordination/gateway/call-record.js';
import { CallState } from '../../src/coordination/gateway/call-state.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { RecordedReply } from '../../src/lab/gateway-simulation/recorded-reply.js';

/** Ends a request at its deadline; returns the status of the response. */
function statusAtDeadline(state: CallState, sends: number): number | undefined {
  const reply = new RecordedReply();
  const call = {
    state,
    sends,
    reply,
    request: { id: 'request', arrivedMs: 0 },
    response: {},
    crashes: {},
    quota: { end: () => undefined },
    context: {
      statistics: new GatewayStatistics(),
      clock: new VirtualClock(),
      logger: new NoopLogger(),
      rejections: { responseTo: () => ({ status: 503, reason: 'no-time-left' }) },
    },
  } as unknown as CallRecord;
  new CallEnding(call, () => undefined).expire();
  return reply.status;
}

test('a request that waits at its deadline gets 503 even if engines have rejected it before', (t) => {
  t.is(statusAtDeadline(CallState.Queued, 2), 503);
  t.is(statusAtDeadline(CallState.Queued, 0), 503);
});

test('a request that an engine has at its deadline gets 504', (t) => {
  t.is(statusAtDeadline(CallState.Sent, 1), 504);
});
