/**
 * A send whose response this router had paused for a slow caller was taken for silent after the path
 * to engines was lost, and was not read on when it served the request again.
 */
import test from 'ava';
import { CallFailover } from '../../src/coordination/gateway/call-failover.js';
import type { CallRecord } from '../../src/coordination/gateway/call-record.js';
import type { CallRetries } from '../../src/coordination/gateway/call-retries.js';
import { CallState } from '../../src/coordination/gateway/call-state.js';
import type { Send } from '../../src/coordination/gateway/send.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { StepGuard } from '../../src/coordination/gateway/step-guard.js';
import { StalledSend } from '../../src/coordination/gateway/stalled-send.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { EnginePathState } from '../../src/state/routing/engine-path.js';

const PAUSED_MS = 1_000;

function pausedSend(): Send {
  const send = { isPaused: true, isConnected: true, isForwarded: false, hasHead: true };
  const resume = function (this: { isPaused: boolean }): void {
    this.isPaused = false;
  };
  return { ...send, lastActivityMs: 0, engineId: 'engine', resume } as unknown as Send;
}

test('a paused send is not failed over when the path is silent', (t) => {
  const clock = new VirtualClock();
  const send = pausedSend();
  let failovers = 0;
  const call = {
    send,
    context: { clock },
    state: CallState.Responding,
    isAtEngine: true,
    mayRepeat: true,
    canSendAgain: true,
    now: PAUSED_MS,
    response: { isResumable: true, isContinuable: true },
    stalled: { isOpen: true },
  } as unknown as CallRecord;
  const retries = { canFailOver: () => true } as unknown as CallRetries;
  const failover = new CallFailover(call, retries, {
    failSend: () => (failovers += 1),
    sendAgain: () => undefined,
    onReturned: () => undefined,
  });
  failover.failSendWithoutPath(EnginePathState.Silent);
  t.is(failovers, 0);
});

test('a paused send is read on when it serves the request again', (t) => {
  const send = pausedSend();
  const response = { discardPending: () => undefined };
  const guard = new StepGuard('request-1', new NoopLogger());
  const call = { send: undefined, state: CallState.Choosing, place: undefined, response, guard };
  const stalled = new StalledSend(call, new VirtualClock());
  stalled.keep(send);
  t.true(stalled.tryReturn('no-engine'));
  t.false(send.isPaused);
});
