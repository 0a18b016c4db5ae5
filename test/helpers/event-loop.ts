/** Waiting, and keeping the event loop from running. */

/** Blocks the event loop, as a process without processor time does. */
export function holdEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

export function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
