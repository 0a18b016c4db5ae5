/** Runs a router in a process of its own, so that a test can end it; engines are its arguments. */
import type { ExecutionContext } from 'ava';
import { startRouter } from './socket-router.js';

/** What the router's process sends to the test. */
export interface RouterStarted {
  readonly port: number;
}

/** The process ends all that it has opened. */
const NO_TEARDOWN = { teardown: () => undefined } as unknown as ExecutionContext;

const { port } = await startRouter(NO_TEARDOWN, process.argv.slice(2), {});
process.on('message', () => process.exit(0));
process.send?.({ port } satisfies RouterStarted);
