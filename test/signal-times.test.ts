/** Guards against a signal that a delayed process takes for later than it was sent. */
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import test, { type ExecutionContext } from 'ava';
import { wait } from './helpers/event-loop.js';

const PROGRAM = fileURLToPath(new URL('./helpers/signal-program.js', import.meta.url));
/** Longer than the precision of the bound. */
const SETTLING_MS = 300;
const DELAY_MS = 600;
const PRECISION_MS = 150;
/** For late timers of a loaded machine. */
const TOLERANCE_MS = 1_500;

async function startProgram(t: ExecutionContext): Promise<ChildProcess> {
  const child = fork(PROGRAM);
  t.teardown(() => child.kill('SIGKILL'));
  await once(child, 'message');
  await wait(SETTLING_MS);
  return child;
}

/** Sends SIGTERM; resolves with the delay that the child reports, and the one that the test saw. */
async function reportedDelay(
  child: ChildProcess,
  delay: () => Promise<void>,
): Promise<{ longestMs: number; actualMs: number }> {
  const report = once(child, 'message') as Promise<[number]>;
  const sentMs = performance.now();
  child.kill('SIGTERM');
  await delay();
  const actualMs = performance.now() - sentMs;
  const [longestMs] = await report;
  return { longestMs, actualMs };
}

test('a signal to a suspended process counts from before it was sent', async (t) => {
  const child = await startProgram(t);
  child.kill('SIGSTOP');
  const { longestMs, actualMs } = await reportedDelay(child, async () => {
    await wait(DELAY_MS);
    child.kill('SIGCONT');
  });
  t.true(longestMs >= actualMs, `${longestMs} of ${actualMs} ms`);
});

test('a signal to a busy process counts from before it was sent', async (t) => {
  const child = await startProgram(t);
  child.send(DELAY_MS);
  await wait(DELAY_MS / 3);
  const { longestMs, actualMs } = await reportedDelay(child, () => wait(DELAY_MS / 3));
  t.true(longestMs >= actualMs, `${longestMs} of ${actualMs} ms`);
});

test('a signal that is handled at once is known to be new', async (t) => {
  const child = await startProgram(t);
  const { longestMs } = await reportedDelay(child, () => Promise.resolve());
  t.true(longestMs < PRECISION_MS + TOLERANCE_MS, `${longestMs} ms`);
});
