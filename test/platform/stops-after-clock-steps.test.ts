/** Guards against a stop that takes a step of the wall clock for a signal that was noticed late. */
import { connect } from 'node:net';
import test from 'ava';
import { StopSequence } from '../../platform/stop-sequence.js';
import { type Clock, SystemClock } from '../../src/runtime/clock.js';
import { ElapsedInstant } from '../../src/runtime/elapsed-instant.js';
import { SignalTimes } from '../../src/runtime/signal-times.js';
import { SuspensionMeter } from '../../src/runtime/suspension-meter.js';
import { startEngine, startRouter, wait } from '../helpers/socket-router.js';

const STEP_MS = 30_000;
const SETTLING_MS = 400;
const GRACE_S = 8;

/** The system clock, with a wall clock that a test sets forward. */
class SteppedClock extends SystemClock implements Clock {
  stepMs = 0;
  private readonly stepMeter = new SuspensionMeter(
    { monotonicMs: () => performance.now(), wallMs: () => Date.now() + this.stepMs },
    () => undefined,
  );

  override elapsed(): ElapsedInstant {
    return new ElapsedInstant(this.stepMeter.elapsedMs());
  }
}

test('a router whose wall clock is set forward just before its stop signal goes on to serve', async (t) => {
  const engine = await startEngine(t, (_request, response) => {
    response.setHeader('Content-Length', '2');
    response.end('ok');
  });
  const router = await startRouter(t, [engine], {});
  const clock = new SteppedClock();
  const signals = new SignalTimes(clock);
  t.teardown(() => signals.stop());
  await wait(SETTLING_MS);
  clock.stepMs = STEP_MS;
  const { node, ingress, logger } = router;
  new StopSequence(node, ingress, router.clock, logger, GRACE_S, signals, () => undefined).begin();
  await wait(SETTLING_MS);
  // Callers with a cached response of the directory go on to connect.
  const result = await new Promise<string>((resolve) => {
    const socket = connect(router.port, '127.0.0.1');
    let text = '';
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
    socket.on('error', (error) => resolve(error.message));
    socket.on('close', () => resolve(text));
    socket.write(
      'POST /plain/plain-unsafe/x HTTP/1.1\r\nHost: host.example\r\nX-Peatspan-Attempt-Id: a\r\n' +
        'Api-Key: key-1\r\nContent-Length: 0\r\n\r\n',
    );
  });
  const stopping = router.events.find(({ event }) => event === 'stopping');
  t.log(JSON.stringify(stopping?.fields));
  t.regex(result, /^HTTP\/1\.1 200 /);
});
