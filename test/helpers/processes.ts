/** Starts programs as child processes and reads their logs. */
import { type ChildProcess, spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 20;

/** A running program. */
export class Program {
  private output = '';
  private readonly child: ChildProcess;
  readonly exited: Promise<number | null>;

  constructor(args: readonly string[]) {
    this.child = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child.stdout?.on('data', (chunk: Buffer) => (this.output += chunk.toString('utf8')));
    this.child.stderr?.on('data', (chunk: Buffer) => (this.output += chunk.toString('utf8')));
    this.exited = new Promise((resolve) => this.child.once('exit', (code) => resolve(code)));
  }

  get log(): string {
    return this.output;
  }

  /** Waits for the first log line of an event and returns the value of a field. */
  async waitForLogField(event: string, name: string): Promise<string> {
    const pattern = new RegExp(`event=${event} .*\\b${name}=(\\S+)`);
    return waitFor(() => pattern.exec(this.output)?.[1], `${event} in:\n${this.output}`);
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }
}

/** Polls until the probe returns a value; throws after a timeout. */
export async function waitFor<T>(probe: () => T | undefined, description: string): Promise<T> {
  const deadlineMs = performance.now() + START_TIMEOUT_MS;
  for (;;) {
    const value = probe();
    if (value !== undefined) return value;
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Polls a URL until the status of its response is 2xx; throws after a timeout. */
export async function waitUntilOk(url: string): Promise<void> {
  const deadlineMs = performance.now() + START_TIMEOUT_MS;
  for (;;) {
    const ok = await fetch(url).then(
      (response) => response.ok,
      () => false,
    );
    if (ok) return;
    if (performance.now() > deadlineMs) throw new Error(`${url} did not respond with 2xx in time`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
