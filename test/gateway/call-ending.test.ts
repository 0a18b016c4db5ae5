/** Guards against a final response that denies or promises more than what is known of the request. */
import test from 'ava';
import { CallEnding } from '../../src/coordination/gateway/call-ending.js';
import { CallRecord } from '../../src/coordination/gateway/call-record.js';
import { CallState } from '../../src/coordination/gateway/call-state.js';
import { GatewayStatistics } from '../../src/coordination/gateway/gateway-statistics.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { RecordedReply } from '../../src/lab/gateway-simulation/recorded-reply.js';
import { RejectionReason } from '../../src/state/routing/rejection.js';

/** Ends a request; returns the status of the response. */
function statusAfter(
  end: (ending: CallEnding) => void,
  state: CallState,
  sends: number,
): number | undefined {
  const reply = new RecordedReply();
  const call = {
    state,
    isAtEngine: Object.getOwnPropertyDescriptor(CallRecord.prototype, 'isAtEngine')?.get?.call({
      state,
    }) as unknown,
    sends,
    reply,
    request: { id: 'request', arrivedMs: 0 },
    response: {},
    stalled: { tryReturn: () => false, release: () => undefined },
    crashes: {},
    quota: { end: () => undefined },
    context: {
      statistics: new GatewayStatistics(),
      clock: new VirtualClock(),
      logger: new NoopLogger(),
      rejections: { responseTo: () => ({ status: 503, reason: 'no-time-left' }) },
    },
  } as unknown as CallRecord;
  end(new CallEnding(call, () => undefined));
  return reply.status;
}

function statusAtDeadline(state: CallState, sends: number): number | undefined {
  return statusAfter((ending) => ending.expire(), state, sends);
}

function statusAtStop(state: CallState, sends: number): number | undefined {
  return statusAfter((ending) => ending.reject(RejectionReason.Stopping), state, sends);
}

test('a request that waits at its deadline gets 503 even if engines have rejected it before', (t) => {
  t.is(statusAtDeadline(CallState.Queued, 2), 503);
  t.is(statusAtDeadline(CallState.Queued, 0), 503);
});

test('a request that an engine has at its deadline gets 504', (t) => {
  t.is(statusAtDeadline(CallState.Sent, 1), 504);
});

test('a request gets no 503 at a stop once an engine has it, also while its response is buffered', (t) => {
  t.is(statusAtStop(CallState.Sent, 1), 502);
  t.is(statusAtStop(CallState.Responding, 1), 502);
  t.is(statusAtStop(CallState.Queued, 1), 503);
});
