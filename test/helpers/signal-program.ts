/** Reports, at SIGTERM, for how long the signal can have waited; a process of its own for tests. */
import { SystemClock } from '../../src/runtime/clock.js';
import { SignalTimes } from '../../src/runtime/signal-times.js';
import { holdEventLoop } from './event-loop.js';

const signals = new SignalTimes(new SystemClock());
process.on('SIGTERM', () => {
  process.send?.(signals.longestDelayMs);
  process.disconnect();
  signals.stop();
});
process.on('message', (heldMs: number) => holdEventLoop(heldMs));
process.send?.('ready');
