/**
 * Guards against a request that crashes engines and is cleared each time, because the address of a
 * crashed engine accepts connections for a while.
 */
import test from 'ava';
import {
  ResponseEndCheck,
  SenderState,
} from '../../src/coordination/gateway/response-end-check.js';
import { IncarnationState, ListenerState } from '../../src/protocol/inference/port.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { listenerStates } from '../helpers/listener-states.js';

const ENGINE = { id: 'engine-0', name: 'engine-0', address: 'engine-0:1', startedAtMs: 1 };
/** All checks are done by then. */
const LAST_CHECK_MS = 1_000;

/** Checks an engine whose listener is in the given states, of which the last one lasts. */
async function checkSender(
  states: readonly ListenerState[],
  isSuspected: boolean,
  incarnation?: IncarnationState,
  startedAtMs?: number,
  connectedAfterMs?: number,
): Promise<SenderState> {
  const clock = new VirtualClock();
  const nextState = listenerStates(states);
  const ends = new ResponseEndCheck({
    engines: {
      checkListener: nextState,
      checkIncarnation: () =>
        Promise.resolve({ state: incarnation ?? IncarnationState.Unknown, startedAtMs }),
    },
    clock,
    access: { checkEngine: nextState },
  });
  const checked = ends.checkSender(ENGINE, {
    forwarder: undefined,
    isSuspected,
    isGeneration: incarnation !== undefined,
    connectedAfterMs,
  });
  await clock.advance(LAST_CHECK_MS);
  return checked;
}

test('the engine of a suspected request is checked until it is refused', async (t) => {
  const states = [ListenerState.Listening, ListenerState.Listening, ListenerState.Refused];
  t.is(await checkSender(states, true), SenderState.Gone);
});

test('the check of a suspected request ends once it is inconclusive', async (t) => {
  const states = [ListenerState.Listening, ListenerState.Unresponsive, ListenerState.Refused];
  t.is(await checkSender(states, true), SenderState.Unknown);
});

test('the engine of a suspected request that stays is present', async (t) => {
  t.is(await checkSender([ListenerState.Listening], true), SenderState.Present);
});

test('the end of a response of another request is not delayed by more than one check', async (t) => {
  const states = [ListenerState.Listening, ListenerState.Refused];
  t.is(await checkSender(states, false), SenderState.Present);
});

test('an engine of generations is present only if it answers as the same incarnation', async (t) => {
  const check = (incarnation: IncarnationState): Promise<SenderState> =>
    checkSender([ListenerState.Listening], false, incarnation);
  t.is(await check(IncarnationState.Same), SenderState.Present);
  t.is(await check(IncarnationState.Other), SenderState.Gone);
  t.is(await check(IncarnationState.Unknown), SenderState.Unknown);
});

// Guards against a whole response that is broken off because the router learns late of a restart.
test('an engine that had restarted before the connection was opened has sent the response', async (t) => {
  const check = (
    incarnation: IncarnationState,
    startedAtMs?: number,
    connectedAfterMs?: number,
  ): Promise<SenderState> =>
    checkSender([ListenerState.Listening], false, incarnation, startedAtMs, connectedAfterMs);
  const { Other, Unknown } = IncarnationState;
  t.is(await check(Other, 10_000, 10_500), SenderState.Present);
  // The clocks of the machines may differ by 500 ms.
  t.is(await check(Other, 10_000, 10_499), SenderState.Gone);
  t.is(await check(Other, 10_000, 9_000), SenderState.Gone);
  // A connection that was opened earlier may lead to the process before.
  t.is(await check(Other, 10_000, undefined), SenderState.Gone);
  t.is(await check(Other, undefined, 10_500), SenderState.Gone);
  t.is(await check(Unknown, 10_000, 10_500), SenderState.Unknown);
});
